import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { compilePolicy } from '../src/config/policy.js';
import { parseSettings } from '../src/config/settings.js';
import { SettingsError } from '../src/config/settings-error.js';

const GOOD = `
host_name = "a-0"
area = "z1"
bind = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
later_field = 1
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
size = 1
zones = ["z1"]
skew_ms = 10.0
[[params.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 10.0
gang_peer_s = 5.0
cancel_s = 60.0
[params.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 3.0
list_lag_s = 5.0
[params.limits]
core_share = 0.4
mem_mb = 300.0
fd_limit = 1000
`;
/** The faults that `check` finds; none if it doesn't throw a `SettingsError`. */
function faultsOf(check: () => unknown): string[] {
  try {
    check();
  } catch (error) {
    if (error instanceof SettingsError) return error.issues;
  }
  return [];
}

test('settings: good ones pass, each fault is named with its field', () => {
  expect(parseSettings(GOOD).params.teams[0]?.name).toBe('t');

  const bad = GOOD.replace('size = 1', 'size = 0')
    .replace('bind = "127.0.0.1:8080"', 'bind = "nowhere"')
    .replace('cpus = 0.0\n', '');
  const faults = faultsOf(() => parseSettings(bad));
  expect(faults.map((fault) => fault.split(':')[0])).toEqual(['bind', 'params.size', 'params.teams.0.cpus']);
});

test('policy: the default works, unknown keys and wrong types are named with their line', () => {
  const text = readFileSync(new URL('../deploy/policy.toml', import.meta.url), 'utf8');
  const input = {
    services: 100,
    serviceCpus: 200,
    queuedTasks: 3,
    queuedCpus: 9,
    runningBatchTasks: 1,
    machines: 4,
    heartbeatIntervalSeconds: 3,
    leaseSeconds: 34,
    bootSeconds: 15,
  };
  expect(compilePolicy(text)(input).unresponsiveSeconds).toBeGreaterThan(3);

  const bad = `${text}\nsurprise = 1\n`
    .replace(/^idle_s = .*$/m, 'idle_s = "services > 2.0"')
    .replace(/^silent_s = .*$/m, 'silent_s = "no_such + 1.0"');
  const faults = faultsOf(() => compilePolicy(bad));
  expect(faults.length).toBe(3);
  expect(faults.every((fault) => /^policy\.(surprise|idle_s|silent_s) \(line \d+\): /.test(fault))).toBe(
    true,
  );
});

test('settings: a bound on cancellations that leaves no time beside the lease is a fault', () => {
  const faultsWith = (cancelS: string) =>
    faultsOf(() => parseSettings(GOOD.replace('cancel_s = 60.0', `cancel_s = ${cancelS}`)));

  expect(faultsWith('32.0')).toEqual([]);
  for (const cancelS of ['31.5', '30.0', '20.0'])
    expect(faultsWith(cancelS)).toEqual([expect.stringMatching(/^params.workers: cancel_s/)]);
});
