#!/usr/bin/env node
import { randomBytes } from 'node:crypto';
import { Command, CommanderError } from 'commander';
import { pino } from 'pino';
import { Controller } from './core/controller.js';
import type { Logger } from './core/types.js';
import { realClock } from './io/clock.js';
import { CloudClient } from './io/cloud.js';
import { listen, makeApp, serve as serveHttp } from './io/http.js';
import { InboundConnections } from './io/inbound-connections.js';
import { Mesh } from './io/mesh.js';
import { socketBudget } from './io/socket-budget.js';
import { StateClient } from './io/state.js';
import { WorkerClient } from './io/worker-client.js';
import { loadPolicy } from './settings/policy.js';
import { loadSettings, type Settings } from './settings/settings.js';
import { SettingsError } from './settings/settings-error.js';

const DEFAULT_POLICY = new URL('../deploy/policy.toml', import.meta.url);
/** Lease of a controller: so long its absence goes unnoticed. */
const TTL_MS = 3500;

interface Options {
  config: string;
  policy?: string;
}

function load(o: Options) {
  return { s: loadSettings(o.config), policy: loadPolicy(o.policy ?? DEFAULT_POLICY) };
}

function serve(o: Options): void {
  const { s, policy } = load(o);
  const level = process.env.LOG_LEVEL ?? 'info';
  const log = pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { host: s.host_name } },
    pino.destination({ dest: 2, sync: true }),
  );
  process.on('uncaughtException', (e) => {
    log.error({ err: e.stack ?? String(e) }, 'defect');
    process.exit(1);
  });
  // A promise nobody waited for is logged as the defect it is, and ends nothing.
  process.on('unhandledRejection', (e) =>
    log.error({ err: e instanceof Error ? e.stack : String(e) }, 'unhandled rejection'),
  );
  run(s, policy, log);
}

function run(s: Settings, policy: ReturnType<typeof loadPolicy>, log: Logger): void {
  const p = s.params;
  let ctl: Controller | null = null;
  const budget = socketBudget(p.limits.fd_limit, s.siblings.length);
  const mesh = new Mesh(
    s.mesh_addr,
    s.siblings.map((x) => ({ host: x.host_name, addr: x.peer_addr })),
    log,
    (m) => ctl?.push({ k: 'mesh', m }),
    (host, up) => ctl?.push({ k: 'link', host, up }),
  );
  ctl = new Controller({
    host: s.host_name,
    inst: `${s.host_name}.${randomBytes(6).toString('hex')}`,
    peers: s.siblings.map((x) => x.host_name),
    teams: p.teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      cpusMax: t.cpus_max,
      gpus: t.gpus,
      gpusMax: t.gpus_max,
    })),
    workers: { reportS: p.workers.report_s, leaseS: p.workers.lease_s, cancelS: p.workers.cancel_s },
    state: { valueKb: p.state.value_kb, txnOps: p.state.txn_ops, writeRps: p.state.write_rps },
    listLagS: p.cloud.list_lag_s,
    cloudRps: p.cloud.rps,
    objectives: p.objectives.map((x) => ({ kind: x.kind, cls: x.class ?? '', withinS: x.within_s ?? 0 })),
    ttlMs: TTL_MS,
    policy,
    clock: realClock,
    log,
    statePort: new StateClient(s.services.state, {
      rps: p.state.rps,
      writeRps: p.state.write_rps,
      nodes: p.size,
    }),
    cloud: new CloudClient(s.services.cloud, p.cloud.rps),
    worker: new WorkerClient(budget.workers),
    mesh,
  });
  ctl.start();
  const sockets = new InboundConnections(budget.inbound, realClock.now);
  listen(serveHttp(makeApp(ctl, realClock, log), ctl, log), s.bind, sockets, realClock, log);
  log.info({ bind: s.bind, mesh: s.mesh_addr }, 'started');
}

function fail(e: unknown): never {
  if (e instanceof SettingsError) {
    for (const f of e.faults) process.stderr.write(`${f}\n`);
    process.exit(2);
  }
  throw e;
}

const program = new Command('juniperstand')
  .description('Cluster scheduler: takes jobs, rents machines, runs tasks.')
  .exitOverride()
  .showHelpAfterError();
const withOptions = (c: Command) =>
  c
    .requiredOption('--config <file>', 'settings file (TOML)')
    .option('--policy <file>', "operators' policy (TOML of expressions)");
withOptions(program.command('serve', { isDefault: true }).description('run a controller'))
  .allowExcessArguments(false)
  .action((o: Options) => {
    try {
      serve(o);
    } catch (e) {
      fail(e);
    }
  });
withOptions(program.command('check').description('check settings and policy, and stop'))
  .allowExcessArguments(false)
  .action((o: Options) => {
    try {
      load(o);
      process.stdout.write('ok\n');
    } catch (e) {
      fail(e);
    }
  });

try {
  program.parse();
} catch (e) {
  if (!(e instanceof CommanderError)) throw e;
  process.exit(e.exitCode === 0 ? 0 : 2);
}
