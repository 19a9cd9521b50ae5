import { describe, expect, test } from 'vitest';
import { compilePolicy } from '../../src/config/policy.js';
import { parseSettings, type Settings } from '../../src/config/settings.js';
import { SettingsError } from '../../src/config/settings-error.js';
import type { Policy, PolicyInput } from '../../src/model/policy.js';

const SETTINGS_TEXT = `
host_name = "stand-1"
area = "z1"
bind = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
[[siblings]]
host_name = "stand-2"
area = "z2"
peer_addr = "127.0.0.1:8082"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
size = 3
zones = ["z1", "z2"]
skew_ms = 10.5
[[params.teams]]
name = "vision"
cpus = 1.5
cpus_max = 2.5
gpus = 3.5
gpus_max = 4.5
[[params.objectives]]
kind = "finished"
class = "train"
within_s = 60.5
share = 0.9
[params.workers]
report_s = 3.5
lease_s = 30.5
gang_wait_s = 10.5
gang_peer_s = 5.5
cancel_s = 60.5
[params.state]
rps = 100.5
write_rps = 50.5
value_kb = 8.5
txn_ops = 32
[params.cloud]
rps = 3.5
list_lag_s = 5.5
[params.limits]
core_share = 0.4
mem_mb = 300.5
fd_limit = 1000
`;
const SETTINGS: Settings = {
  host_name: 'stand-1',
  area: 'z1',
  bind: '127.0.0.1:8080',
  mesh_addr: '127.0.0.1:8081',
  siblings: [{ host_name: 'stand-2', area: 'z2', peer_addr: '127.0.0.1:8082' }],
  services: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
  params: {
    size: 3,
    zones: ['z1', 'z2'],
    skew_ms: 10.5,
    teams: [{ name: 'vision', cpus: 1.5, cpus_max: 2.5, gpus: 3.5, gpus_max: 4.5 }],
    objectives: [{ kind: 'finished', class: 'train', within_s: 60.5, share: 0.9 }],
    workers: { report_s: 3.5, lease_s: 30.5, gang_wait_s: 10.5, gang_peer_s: 5.5, cancel_s: 60.5 },
    state: { rps: 100.5, write_rps: 50.5, value_kb: 8.5, txn_ops: 32 },
    cloud: { rps: 3.5, list_lag_s: 5.5 },
    limits: { core_share: 0.4, mem_mb: 300.5, fd_limit: 1000 },
  },
};

function issuesOf(check: () => unknown): string[] {
  try {
    check();
  } catch (error) {
    if (error instanceof SettingsError) return error.issues;
    throw error;
  }
  return [];
}

/** Returns the issues of the settings after a line, which must exist, has been replaced. */
function issuesWithLine(line: string, replacement: string): string[] {
  expect(SETTINGS_TEXT).toContain(`\n${line}\n`);
  return issuesOf(() => parseSettings(SETTINGS_TEXT.replace(`\n${line}\n`, `\n${replacement}\n`)));
}

describe('settings', () => {
  test('are parsed completely', () => {
    expect(parseSettings(SETTINGS_TEXT)).toStrictEqual(SETTINGS);
  });

  test.each([
    ['host_name = "stand-1"', 'host_name: Invalid key: Expected "host_name" but received undefined'],
    ['area = "z1"', 'area: Invalid key: Expected "area" but received undefined'],
    ['bind = "127.0.0.1:8080"', 'bind: Invalid key: Expected "bind" but received undefined'],
    ['mesh_addr = "127.0.0.1:8081"', 'mesh_addr: Invalid key: Expected "mesh_addr" but received undefined'],
    [
      'host_name = "stand-2"',
      'siblings.0.host_name: Invalid key: Expected "host_name" but received undefined',
    ],
    ['area = "z2"', 'siblings.0.area: Invalid key: Expected "area" but received undefined'],
    [
      'peer_addr = "127.0.0.1:8082"',
      'siblings.0.peer_addr: Invalid key: Expected "peer_addr" but received undefined',
    ],
    ['cloud = "127.0.0.1:1"', 'services.cloud: Invalid key: Expected "cloud" but received undefined'],
    ['state = "127.0.0.1:2"', 'services.state: Invalid key: Expected "state" but received undefined'],
    ['size = 3', 'params.size: Invalid key: Expected "size" but received undefined'],
    ['zones = ["z1", "z2"]', 'params.zones: Invalid key: Expected "zones" but received undefined'],
    ['skew_ms = 10.5', 'params.skew_ms: Invalid key: Expected "skew_ms" but received undefined'],
    ['name = "vision"', 'params.teams.0.name: Invalid key: Expected "name" but received undefined'],
    ['cpus = 1.5', 'params.teams.0.cpus: Invalid key: Expected "cpus" but received undefined'],
    ['cpus_max = 2.5', 'params.teams.0.cpus_max: Invalid key: Expected "cpus_max" but received undefined'],
    ['gpus = 3.5', 'params.teams.0.gpus: Invalid key: Expected "gpus" but received undefined'],
    ['gpus_max = 4.5', 'params.teams.0.gpus_max: Invalid key: Expected "gpus_max" but received undefined'],
    ['kind = "finished"', 'params.objectives.0.kind: Invalid key: Expected "kind" but received undefined'],
    ['report_s = 3.5', 'params.workers.report_s: Invalid key: Expected "report_s" but received undefined'],
    ['lease_s = 30.5', 'params.workers.lease_s: Invalid key: Expected "lease_s" but received undefined'],
    [
      'gang_wait_s = 10.5',
      'params.workers.gang_wait_s: Invalid key: Expected "gang_wait_s" but received undefined',
    ],
    [
      'gang_peer_s = 5.5',
      'params.workers.gang_peer_s: Invalid key: Expected "gang_peer_s" but received undefined',
    ],
    ['cancel_s = 60.5', 'params.workers.cancel_s: Invalid key: Expected "cancel_s" but received undefined'],
    ['rps = 100.5', 'params.state.rps: Invalid key: Expected "rps" but received undefined'],
    ['write_rps = 50.5', 'params.state.write_rps: Invalid key: Expected "write_rps" but received undefined'],
    ['value_kb = 8.5', 'params.state.value_kb: Invalid key: Expected "value_kb" but received undefined'],
    ['txn_ops = 32', 'params.state.txn_ops: Invalid key: Expected "txn_ops" but received undefined'],
    ['rps = 3.5', 'params.cloud.rps: Invalid key: Expected "rps" but received undefined'],
    [
      'list_lag_s = 5.5',
      'params.cloud.list_lag_s: Invalid key: Expected "list_lag_s" but received undefined',
    ],
    [
      'core_share = 0.4',
      'params.limits.core_share: Invalid key: Expected "core_share" but received undefined',
    ],
    ['mem_mb = 300.5', 'params.limits.mem_mb: Invalid key: Expected "mem_mb" but received undefined'],
    ['fd_limit = 1000', 'params.limits.fd_limit: Invalid key: Expected "fd_limit" but received undefined'],
  ])('are rejected if a line is missing: %s', (line, error) => {
    expect(issuesWithLine(line, '')).toEqual([error]);
  });

  test.each([
    ['host_name = "stand-1"', 'host_name = ""', 'host_name: Invalid length: Expected >=1 but received 0'],
    ['area = "z1"', 'area = ""', 'area: Invalid length: Expected >=1 but received 0'],
    ['bind = "127.0.0.1:8080"', 'bind = "nowhere"', 'bind: must be ADDRESS:PORT'],
    ['mesh_addr = "127.0.0.1:8081"', 'mesh_addr = "nowhere"', 'mesh_addr: must be ADDRESS:PORT'],
    [
      'host_name = "stand-2"',
      'host_name = ""',
      'siblings.0.host_name: Invalid length: Expected >=1 but received 0',
    ],
    ['area = "z2"', 'area = ""', 'siblings.0.area: Invalid length: Expected >=1 but received 0'],
    ['peer_addr = "127.0.0.1:8082"', 'peer_addr = "nowhere"', 'siblings.0.peer_addr: must be ADDRESS:PORT'],
    ['cloud = "127.0.0.1:1"', 'cloud = "nowhere"', 'services.cloud: must be ADDRESS:PORT'],
    ['state = "127.0.0.1:2"', 'state = "nowhere"', 'services.state: must be ADDRESS:PORT'],
    ['size = 3', 'size = 1.5', 'params.size: Invalid integer: Received 1.5'],
    ['size = 3', 'size = 0', 'params.size: Invalid value: Expected >=1 but received 0'],
    ['zones = ["z1", "z2"]', 'zones = [1]', 'params.zones.0: Invalid type: Expected string but received 1'],
    ['zones = ["z1", "z2"]', 'zones = [""]', 'params.zones.0: Invalid length: Expected >=1 but received 0'],
    ['skew_ms = 10.5', 'skew_ms = -1.0', 'params.skew_ms: Invalid value: Expected >=0 but received -1'],
    ['name = "vision"', 'name = ""', 'params.teams.0.name: Invalid length: Expected >=1 but received 0'],
    ['cpus = 1.5', 'cpus = -1.0', 'params.teams.0.cpus: Invalid value: Expected >=0 but received -1'],
    [
      'cpus_max = 2.5',
      'cpus_max = -1.0',
      'params.teams.0.cpus_max: Invalid value: Expected >=0 but received -1',
    ],
    ['gpus = 3.5', 'gpus = -1.0', 'params.teams.0.gpus: Invalid value: Expected >=0 but received -1'],
    [
      'gpus_max = 4.5',
      'gpus_max = -1.0',
      'params.teams.0.gpus_max: Invalid value: Expected >=0 but received -1',
    ],
    [
      'kind = "finished"',
      'kind = ""',
      'params.objectives.0.kind: Invalid length: Expected >=1 but received 0',
    ],
    [
      'report_s = 3.5',
      'report_s = 0.0',
      'params.workers.report_s: Invalid value: Expected >0 but received 0',
    ],
    ['lease_s = 30.5', 'lease_s = 0.0', 'params.workers.lease_s: Invalid value: Expected >0 but received 0'],
    [
      'gang_wait_s = 10.5',
      'gang_wait_s = -1.0',
      'params.workers.gang_wait_s: Invalid value: Expected >=0 but received -1',
    ],
    [
      'gang_peer_s = 5.5',
      'gang_peer_s = -1.0',
      'params.workers.gang_peer_s: Invalid value: Expected >=0 but received -1',
    ],
    [
      'cancel_s = 60.5',
      'cancel_s = 0.0',
      'params.workers.cancel_s: Invalid value: Expected >0 but received 0\nparams.workers: cancel_s must exceed lease_s by at least 2 s',
    ],
    ['rps = 100.5', 'rps = 0.0', 'params.state.rps: Invalid value: Expected >0 but received 0'],
    [
      'write_rps = 50.5',
      'write_rps = 0.0',
      'params.state.write_rps: Invalid value: Expected >0 but received 0',
    ],
    ['value_kb = 8.5', 'value_kb = 0.0', 'params.state.value_kb: Invalid value: Expected >0 but received 0'],
    ['txn_ops = 32', 'txn_ops = 1.5', 'params.state.txn_ops: Invalid integer: Received 1.5'],
    ['txn_ops = 32', 'txn_ops = 0', 'params.state.txn_ops: Invalid value: Expected >=1 but received 0'],
    ['rps = 3.5', 'rps = 0.0', 'params.cloud.rps: Invalid value: Expected >0 but received 0'],
    [
      'list_lag_s = 5.5',
      'list_lag_s = -1.0',
      'params.cloud.list_lag_s: Invalid value: Expected >=0 but received -1',
    ],
    [
      'core_share = 0.4',
      'core_share = 0.0',
      'params.limits.core_share: Invalid value: Expected >0 but received 0',
    ],
    ['mem_mb = 300.5', 'mem_mb = 0.0', 'params.limits.mem_mb: Invalid value: Expected >0 but received 0'],
    ['fd_limit = 1000', 'fd_limit = 1.5', 'params.limits.fd_limit: Invalid integer: Received 1.5'],
    ['fd_limit = 1000', 'fd_limit = 0', 'params.limits.fd_limit: Invalid value: Expected >=1 but received 0'],
    [
      'class = "train"',
      'class = 1',
      'params.objectives.0.class: Invalid type: Expected string but received 1',
    ],
    [
      'within_s = 60.5',
      'within_s = ""',
      'params.objectives.0.within_s: Invalid type: Expected number but received ""',
    ],
    ['share = 0.9', 'share = ""', 'params.objectives.0.share: Invalid type: Expected number but received ""'],
    ['cancel_s = 60.5', 'cancel_s = 32.4', 'params.workers: cancel_s must exceed lease_s by at least 2 s'],
  ])('are rejected if a value is invalid: %s', (line, replacement, error) => {
    expect(issuesWithLine(line, replacement).join('\n')).toBe(error);
  });

  test('may omit siblings, objectives, and all fields of an objective but its kind', () => {
    const textWithoutOptional = SETTINGS_TEXT.replace(/\[\[siblings\]\][^[]*/, '').replace(
      /\[\[params.objectives\]\][^[]*/,
      '',
    );
    const { siblings, params } = parseSettings(textWithoutOptional);
    expect([siblings, params.objectives]).toEqual([[], []]);
    const textWithKindOnly = SETTINGS_TEXT.replace('class = "train"\nwithin_s = 60.5\nshare = 0.9\n', '');
    expect(parseSettings(textWithKindOnly).params.objectives).toStrictEqual([{ kind: 'finished' }]);
  });

  test('are rejected if they are not TOML', () => {
    expect(issuesOf(() => parseSettings('= 1'))[0]).toMatch(/^settings are not TOML: /);
  });
});

const POLICY_TEXT = `reserve_replicas = 1.5
reserve_batch = 2.5
idle_s = 3.5
amortize_s = 4.5
amortize_service_s = 5.5
boot_patience = 6.5
silent_s = 7.5
silent_share = 0.5
batch_tasks = 8.5
parting_s = 9.5
patience_s = 10.5
`;
const POLICY: Policy = {
  reserveReplicas: 1.5,
  reserveBatchJobs: 2.5,
  maxIdleSeconds: 3.5,
  amortizationSeconds: 4.5,
  serviceAmortizationSeconds: 5.5,
  maxBootTimeFactor: 6.5,
  unresponsiveSeconds: 7.5,
  maxUnresponsiveShare: 0.5,
  maxTasksPerRequest: 8.5,
  rebalanceIntervalSeconds: 9.5,
  rentalWaitFloorSeconds: 10.5,
};
const POLICY_INPUT: PolicyInput = {
  serviceReplicas: 1,
  serviceCpus: 2,
  queuedTasks: 3,
  queuedCpus: 4,
  runningBatchTasks: 5,
  machines: 6,
  heartbeatIntervalSeconds: 7,
  leaseSeconds: 8,
  bootSeconds: 9,
};

describe('policy', () => {
  const lines = POLICY_TEXT.trim().split('\n');

  test('is evaluated completely', () => {
    expect(compilePolicy(POLICY_TEXT)(POLICY_INPUT)).toStrictEqual(POLICY);
  });

  test.each([
    ['services', 1],
    ['service_cpus', 2],
    ['queued', 3],
    ['queued_cpus', 4],
    ['batch_running', 5],
    ['machines', 6],
    ['report_s', 7],
    ['lease_s', 8],
    ['boot_s', 9],
    ['min(boot_s, queued)', 3],
    ['max(boot_s, queued)', 9],
    ['ceil(boot_s * 0.7)', 7],
  ])('may use the expression %s', (expression, value) => {
    const text = POLICY_TEXT.replace('idle_s = 3.5', `idle_s = "${expression}"`);
    expect(compilePolicy(text)(POLICY_INPUT).maxIdleSeconds).toBe(value);
  });

  test.each([
    ['reserve_replicas', 'policy.reserve_replicas: missing'],
    ['reserve_batch', 'policy.reserve_batch: missing'],
    ['idle_s', 'policy.idle_s: missing'],
    ['amortize_s', 'policy.amortize_s (line 4): missing'],
    ['amortize_service_s', 'policy.amortize_service_s: missing'],
    ['boot_patience', 'policy.boot_patience: missing'],
    ['silent_s', 'policy.silent_s (line 7): missing'],
    ['silent_share', 'policy.silent_share: missing'],
    ['batch_tasks', 'policy.batch_tasks: missing'],
    ['parting_s', 'policy.parting_s: missing'],
    ['patience_s', 'policy.patience_s: missing'],
  ])('is rejected without %s', (name, error) => {
    const text = lines.filter((line) => !line.startsWith(`${name} =`)).join('\n');
    expect(issuesOf(() => compilePolicy(text))).toEqual([error]);
  });

  test.each([
    ['reserve_replicas = 1.5', '0', '1000'],
    ['reserve_batch = 2.5', '0', '100'],
    ['idle_s = 3.5', '0', '86400'],
    ['amortize_s = 4.5', '1', '86400'],
    ['amortize_service_s = 5.5', '1', '86400'],
    ['boot_patience = 6.5', '1', '100'],
    ['silent_s = 7.5', '1', '600'],
    ['silent_share = 0.5', '0', '1'],
    ['batch_tasks = 8.5', '1', '10000'],
    ['parting_s = 9.5', '1', '86400'],
    ['patience_s = 10.5', '0', '3600'],
  ])('clamps each value to its range: %s', (line, min, max) => {
    const name = line.split(' ')[0];
    const evaluate = (value: string) =>
      JSON.stringify(
        Object.values(compilePolicy(POLICY_TEXT.replace(line, `${name} = ${value}`))(POLICY_INPUT))[
          lines.indexOf(line)
        ],
      );
    expect([evaluate('-1'), evaluate('1e9')]).toEqual([min, max]);
  });

  test.each<[string, string[]]>([
    ['idle_s = 3.5\nsurprise = 1', ['policy.surprise (line 4): unknown key']],
    ['idle_s = true', ['policy.idle_s (line 3): must be a number or an expression']],
    ['idle_s = "services > 2.0"', ['policy.idle_s (line 3): must be a number, is bool']],
    [
      'idle_s = "no_such + 1.0"',
      ['policy.idle_s (line 3): Unknown variable: no_such  >    1 | no_such + 1.0          ^'],
    ],
    ['idle_s = "1 +"', ['policy.idle_s (line 3): Unexpected token: EOF  >    1 | 1 +             ^']],
  ])('is rejected with %s', (replacement, error) => {
    expect(issuesOf(() => compilePolicy(POLICY_TEXT.replace('idle_s = 3.5', replacement)))).toEqual(error);
  });
});
