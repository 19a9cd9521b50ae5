import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';

const SETTINGS_TEXT = `
host_name = "stand-1"
area = "z1"
bind = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
services = { cloud = "127.0.0.1:1", state = "127.0.0.1:2" }
[params]
size = 1
zones = ["z1"]
skew_ms = 10.0
teams = [{ name = "vision", cpus = 0.0, cpus_max = 0.0, gpus = 0.0, gpus_max = 0.0 }]
workers = { report_s = 3.0, lease_s = 30.0, gang_wait_s = 10.0, gang_peer_s = 5.0, cancel_s = 60.0 }
state = { rps = 100.0, write_rps = 50.0, value_kb = 8.0, txn_ops = 32 }
cloud = { rps = 3.0, list_lag_s = 5.0 }
limits = { core_share = 0.4, mem_mb = 300.0, fd_limit = 1000 }
`;
const repositoryPath = (path: string) => fileURLToPath(new URL(`../../${path}`, import.meta.url));
const directory = mkdtempSync(join(tmpdir(), 'exit-codes-'));
const programPath = join(directory, 'target', 'main.js');

beforeAll(async () => {
  mkdirSync(join(directory, 'deploy'));
  copyFileSync(repositoryPath('deploy/policy.toml'), join(directory, 'deploy', 'policy.toml'));
  writeFileSync(join(directory, 'good.toml'), SETTINGS_TEXT);
  writeFileSync(
    join(directory, 'bad.toml'),
    SETTINGS_TEXT.replace('size = 1', 'size = 0').replace('area = "z1"', ''),
  );
  writeFileSync(join(directory, 'policy.toml'), 'idle_s = 1\n');
  await build({
    entryPoints: [repositoryPath('src/main.ts')],
    bundle: true,
    platform: 'node',
    format: 'esm',
    logLevel: 'warning',
    outfile: programPath,
    banner: {
      js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
    },
  });
  writeFileSync(join(directory, 'package.json'), '{"type":"module"}');
});
afterAll(() => rmSync(directory, { recursive: true }));

function run(args: string[]): [exitCode: number | null, stdout: string, stderr: string] {
  const { status, stdout, stderr } = spawnSync(process.execPath, [programPath, ...args], {
    cwd: directory,
    encoding: 'utf8',
    timeout: 10000,
  });
  return [status, stdout, stderr.split('\n\nUsage:')[0] ?? ''];
}

const BAD_SETTINGS_ERRORS =
  'area: Invalid key: Expected "area" but received undefined\nparams.size: Invalid value: Expected >=1 but received 0\n';

describe('the program exits', () => {
  test.each<[string, number, string, string]>([
    ['check --config good.toml', 0, 'ok\n', ''],
    ['check --config bad.toml', 2, '', BAD_SETTINGS_ERRORS],
    ['serve --config bad.toml', 2, '', BAD_SETTINGS_ERRORS],
    ['--config bad.toml', 2, '', BAD_SETTINGS_ERRORS],
    ['check', 2, '', "error: required option '--config <file>' not specified"],
    ['check --config good.toml --moss', 2, '', "error: unknown option '--moss'"],
    ['check --config', 2, '', "error: option '--config <file>' argument missing"],
    [
      'check --config good.toml moss',
      2,
      '',
      "error: too many arguments for 'check'. Expected 0 arguments but got 1.",
    ],
  ])('%s', (args, exitCode, stdout, stderr) => {
    expect(run(args.split(' '))).toEqual([exitCode, stdout, stderr]);
  });

  test('with 2 and an error for an invalid policy or a missing file', () => {
    const [exitCode, , stderr] = run(['check', '--config', 'good.toml', '--policy', 'policy.toml']);
    expect([exitCode, stderr.split('\n')[0]]).toEqual([2, 'policy.reserve_replicas: missing']);
    expect(run(['check', '--config', 'none.toml'])).toEqual([
      2,
      '',
      "cannot read none.toml: ENOENT: no such file or directory, open 'none.toml'\n",
    ]);
  });

  test('with 0 after printing its help, which lists commands and options', () => {
    const [exitCode, stdout] = run(['--help']);
    expect([exitCode, stdout.match(/^ {2}\S+/gm)]).toEqual([0, ['  -h,', '  serve', '  check', '  help']]);
    const [, checkHelp] = run(['check', '--help']);
    expect(checkHelp.match(/--\S+( <\w+>)?/g)).toEqual(['--config <file>', '--policy <file>', '--help']);
  });
});
