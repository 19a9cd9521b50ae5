import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';
import * as v from 'valibot';

const name = v.pipe(v.string(), v.minLength(1));
const addr = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be ADDRESS:PORT'));
const positive = v.pipe(v.number(), v.gtValue(0));
const amount = v.pipe(v.number(), v.minValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(1));

/** Least time between the end of a lease and the bound on cancellations: some reads of cancellations fit into it. */
const LEAST_WINDOW_S = 2;

const Schema = v.object({
  host_name: name,
  area: name,
  bind: addr,
  mesh_addr: addr,
  siblings: v.optional(v.array(v.object({ host_name: name, area: name, peer_addr: addr })), []),
  services: v.object({ cloud: addr, state: addr }),
  params: v.object({
    size: whole,
    zones: v.array(name),
    skew_ms: amount,
    teams: v.pipe(
      v.array(v.object({ name, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount })),
      v.minLength(1),
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: name,
          class: v.optional(v.string()),
          within_s: v.optional(v.number()),
          share: v.optional(v.number()),
        }),
      ),
      [],
    ),
    workers: v.pipe(
      v.object({
        report_s: positive,
        lease_s: positive,
        gang_wait_s: amount,
        gang_peer_s: amount,
        cancel_s: positive,
      }),
      // A renewal may follow a cancellation that nobody has told of yet: without time for it no lease could be renewed.
      v.check(
        (w) => w.cancel_s >= w.lease_s + LEAST_WINDOW_S,
        `cancel_s must exceed lease_s by at least ${LEAST_WINDOW_S} s`,
      ),
    ),
    state: v.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: whole }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.object({ core_share: positive, mem_mb: positive, fd_limit: whole }),
  }),
});

export type Settings = v.InferOutput<typeof Schema>;
export class SettingsError extends Error {
  constructor(readonly faults: string[]) {
    super(faults.join('\n'));
  }
}

/** Settings from their text; every fault is named with its field. Unknown fields are ignored. */
export function checkSettings(text: string): Settings {
  let raw: unknown;
  try {
    raw = parseToml(text);
  } catch (e) {
    throw new SettingsError([
      `settings are not TOML: ${String(e instanceof Error ? e.message : e).split('\n')[0]}`,
    ]);
  }
  const r = v.safeParse(Schema, raw);
  if (r.success) return r.output;
  throw new SettingsError(r.issues.map((i) => `${v.getDotPath(i) ?? 'settings'}: ${i.message}`));
}

export function loadSettings(file: string): Settings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    throw new SettingsError([`cannot read ${file}: ${(e as Error).message}`]);
  }
  return checkSettings(text);
}
