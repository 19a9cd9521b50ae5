import { expect, test } from 'vitest';
import { URGENCY } from '../src/model/key-value-store.js';
import type { Result } from '../src/model/result.js';
import { StoreClient } from '../src/transport/store-client.js';
import { startNodeServer } from './test-servers.js';

/** Lists keys from a store that answers with these statuses in order; returns result and request count. */
async function listWithStatuses(statuses: number[]) {
  let requests = 0;
  const { address } = await startNodeServer((_request, response) => {
    response.statusCode = statuses[requests++] ?? 500;
    response.end('{"items":[],"ring":431}');
  });
  const store = new StoreClient(address, {
    requestsPerSecond: 10_000,
    writesPerSecond: 100,
    controllerCount: 1,
  });
  const result = await new Promise<Result<unknown>>((resolve) =>
    store.list({ prefix: 'c/', startAfter: '', urgency: URGENCY.user }, resolve),
  );
  return { result: result.ok ? 'ok' : result.kind, requests };
}

test('a request that the store throttles is retried up to three times', async () => {
  expect(await listWithStatuses([429, 200])).toEqual({ result: 'ok', requests: 2 });
  expect(await listWithStatuses([429, 429, 429, 200])).toEqual({ result: 'ok', requests: 4 });
  expect(await listWithStatuses([429, 429, 429, 429, 200])).toEqual({ result: 'refused', requests: 4 });
});

test('a request that may have been executed, or was refused for another reason, is not retried', async () => {
  expect(await listWithStatuses([503, 200])).toEqual({ result: 'refused', requests: 1 });
  expect(await listWithStatuses([500, 200])).toEqual({ result: 'indeterminate', requests: 1 });
});
