import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { compilePolicy } from '../src/config/policy.js';
import { parseSettings } from '../src/config/settings.js';
import { SettingsError } from '../src/config/settings-error.js';

const VALID_SETTINGS = `
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
/** Returns the issues of the `SettingsError` that `check` throws; none if it throws no such error. */
function issuesOf(check: () => unknown): string[] {
  try {
    check();
  } catch (error) {
    if (error instanceof SettingsError) return error.issues;
  }
  return [];
}

test('settings: valid settings are accepted, and each issue names its field', () => {
  expect(parseSettings(VALID_SETTINGS).params.teams[0]?.name).toBe('t');

  const invalidText = VALID_SETTINGS.replace('size = 1', 'size = 0')
    .replace('bind = "127.0.0.1:8080"', 'bind = "nowhere"')
    .replace('cpus = 0.0\n', '');
  const issues = issuesOf(() => parseSettings(invalidText));
  expect(issues.map((issue) => issue.split(':')[0])).toEqual(['bind', 'params.size', 'params.teams.0.cpus']);
});

test('policy: the default is valid, and unknown keys and wrong types are reported with their line', () => {
  const policyText = readFileSync(new URL('../deploy/policy.toml', import.meta.url), 'utf8');
  const policyInput = {
    serviceReplicas: 100,
    serviceCpus: 200,
    queuedTasks: 3,
    queuedCpus: 9,
    runningBatchTasks: 1,
    machines: 4,
    heartbeatIntervalSeconds: 3,
    leaseSeconds: 34,
    bootSeconds: 15,
  };
  expect(compilePolicy(policyText)(policyInput).unresponsiveSeconds).toBeGreaterThan(3);

  const invalidText = `${policyText}\nsurprise = 1\n`
    .replace(/^idle_s = .*$/m, 'idle_s = "services > 2.0"')
    .replace(/^silent_s = .*$/m, 'silent_s = "no_such + 1.0"');
  const issues = issuesOf(() => compilePolicy(invalidText));
  expect(issues.length).toBe(3);
  expect(issues.every((issue) => /^policy\.(surprise|idle_s|silent_s) \(line \d+\): /.test(issue))).toBe(
    true,
  );
});

test('settings: a cancellation bound that leaves too little time beyond the lease is an issue', () => {
  const issuesWith = (cancelS: string) =>
    issuesOf(() => parseSettings(VALID_SETTINGS.replace('cancel_s = 60.0', `cancel_s = ${cancelS}`)));

  expect(issuesWith('32.0')).toEqual([]);
  for (const cancelS of ['31.5', '30.0', '20.0'])
    expect(issuesWith(cancelS)).toEqual([expect.stringMatching(/^params.workers: cancel_s/)]);
});
