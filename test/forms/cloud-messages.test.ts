import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import type { ListedMachine, MachineType } from '../../src/model/machine-type.js';
import type { Result } from '../../src/model/result.js';
import { CloudClient } from '../../src/transport/cloud-client.js';
import { RecordingServer } from './recording-server.js';

const server = new RecordingServer();
let cloud: CloudClient;
beforeAll(async () => {
  cloud = new CloudClient(await server.listen(), 1000);
});
afterAll(() => server.close());

/** Calls the cloud, which sends the given response. Returns the request as sent and the decoded result. */
async function call<T>(status: number, text: string, send: (callback: (result: Result<T>) => void) => void) {
  server.response = { status, text };
  const result = await new Promise<Result<T>>((resolve) => send(resolve));
  return { request: server.requests.at(-1), result };
}
const listMachineTypes = (status: number, text: string) =>
  call<MachineType[]>(status, text, (callback) => cloud.listMachineTypes(callback));
const rentMachines = (status: number, text: string) =>
  call<string[]>(status, text, (callback) =>
    cloud.rentMachines({ claim: 'r-17', machineType: 'g8', zone: 'a', isSpot: true, count: 12 }, callback),
  );
const deleteMachines = (status: number) =>
  call<null>(status, '{}', (callback) => cloud.deleteMachines(['vm-000231', 'vm-000232'], callback));
const listMachines = (status: number, text: string, afterName = 'vm-000230') =>
  call<{ machines: ListedMachine[]; hasMore: boolean }>(status, text, (callback) =>
    cloud.listMachines(afterName, callback),
  );

const G8_TYPE: MachineType = {
  name: 'g8',
  cpus: 96,
  gpus: 8,
  memoryGb: 768,
  imageCacheGb: 200,
  imageFetchGbPerSecond: 1.5,
  hourlyPrice: 12,
  hourlySpotPrice: 4.5,
  bootSeconds: 45,
  zones: ['a', 'b'],
};

describe('machine types', () => {
  test('are requested and decoded', async () => {
    const text =
      '{"barks":[{"label":"g8","vcpus":96,"cards":8,"ram_gb":768,"cache_gb":200,"pull_gb_per_s":1.5,"hourly":12.0,"spot_price":4.5,"ready_s":45,"slopes":["a","b"]}]}';
    expect(await listMachineTypes(200, text)).toStrictEqual({
      request: 'GET /machine_types',
      result: { ok: true, value: [G8_TYPE] },
    });
  });

  test('get defaults for missing optional fields, and are skipped if a required field is missing', async () => {
    const typeWithDefaults = {
      ...G8_TYPE,
      gpus: 0,
      imageCacheGb: 0,
      imageFetchGbPerSecond: 0.1,
      hourlyPrice: 1,
      hourlySpotPrice: 1,
      bootSeconds: 30,
      zones: [],
    };
    const text =
      '{"barks":[{"label":"g8","vcpus":96,"ram_gb":768},{"vcpus":96,"ram_gb":768},{"label":"g8","ram_gb":768},{"label":"g8","vcpus":96}]}';
    expect((await listMachineTypes(200, text)).result).toStrictEqual({ ok: true, value: [typeWithDefaults] });
    const textWithPrice = '{"barks":[{"label":"g8","vcpus":96,"ram_gb":768,"hourly":3}]}';
    expect((await listMachineTypes(200, textWithPrice)).result).toStrictEqual({
      ok: true,
      value: [{ ...typeWithDefaults, hourlyPrice: 3, hourlySpotPrice: 3 }],
    });
    expect((await listMachineTypes(503, '{}')).result).toStrictEqual({ ok: false, kind: 'refused' });
  });
});

describe('renting machines', () => {
  test('sends the claim, machine type, zone, spot flag and count', async () => {
    expect(await rentMachines(200, '{"trunks":["vm-000231","vm-000232"]}')).toStrictEqual({
      request:
        'POST /machines application/json {"claim":"r-17","bark":"g8","slope":"a","windfall":true,"number":12}',
      result: { ok: true, value: ['vm-000231', 'vm-000232'] },
    });
  });

  test.each<[number, string, Result<string[]>]>([
    [200, '{}', { ok: false, kind: 'refused' }],
    [503, '{"error":"no capacity"}', { ok: false, kind: 'notFound' }],
    [503, '{"error":"trouble"}', { ok: false, kind: 'refused' }],
    [400, '{}', { ok: false, kind: 'invalid' }],
  ])('returns the result of a response with %i %s', async (status, text, result) => {
    expect((await rentMachines(status, text)).result).toStrictEqual(result);
  });
});

describe('deleting machines', () => {
  test('sends their names', async () => {
    expect(await deleteMachines(200)).toStrictEqual({
      request: 'POST /machines/delete application/json {"trunks":["vm-000231","vm-000232"]}',
      result: { ok: true, value: null },
    });
    expect((await deleteMachines(503)).result).toStrictEqual({ ok: false, kind: 'indeterminate' });
  });
});

describe('the list of machines', () => {
  const text =
    '{"trunks":[{"name_id":"vm-000231","address":"10.1.0.232:9000","bark":"g8","slope":"a","windfall":true,"phase":"running","age_s":61.5},{"name_id":"vm-000232","phase":"booting"},{"name_id":"vm-000233","phase":"failed"},{"name_id":"vm-000234","phase":"else"},{"phase":"running"}],"has_next":true}';
  const defaults = { address: '', machineType: '', zone: '', isSpot: false, ageSeconds: 0 };
  const machines: ListedMachine[] = [
    {
      name: 'vm-000231',
      address: '10.1.0.232:9000',
      machineType: 'g8',
      zone: 'a',
      isSpot: true,
      phase: 'running',
      ageSeconds: 61.5,
    },
    { name: 'vm-000232', phase: 'booting', ...defaults },
    { name: 'vm-000233', phase: 'failed', ...defaults },
  ];

  test('is requested in pages and decoded', async () => {
    expect(await listMachines(200, text)).toStrictEqual({
      request: 'GET /machines?since=vm-000230&page=500',
      result: { ok: true, value: { machines, hasMore: true } },
    });
    expect(await listMachines(200, '{"trunks":[]}', '')).toStrictEqual({
      request: 'GET /machines?page=500',
      result: { ok: true, value: { machines: [], hasMore: false } },
    });
    expect((await listMachines(503, '{}')).result).toStrictEqual({ ok: false, kind: 'refused' });
  });
});
