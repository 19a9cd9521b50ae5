#!/usr/bin/env node
/** Entry point: builds a controller from its settings and runs it. */

import { randomBytes } from 'node:crypto';
import { type CommandOptions, EXIT_CODE, runCommandLine } from './cli/command-line.js';
import { createLogger, logUnhandledErrors } from './cli/process-log.js';
import { loadPolicy } from './config/policy.js';
import { loadSettings, type Settings } from './config/settings.js';
import { Controller } from './controller/controller.js';
import type { ControllerOptions } from './controller/controller-options.js';
import type { Logger } from './model/logger.js';
import type { PolicyFn } from './model/policy.js';
import { CloudClient } from './transport/cloud-client.js';
import { HttpServer } from './transport/http-server.js';
import { InboundConnections } from './transport/inbound-connections.js';
import { PeerConnections } from './transport/peer-connections.js';
import { createRequestHandler } from './transport/request-handler.js';
import { computeSocketBudget } from './transport/socket-budget.js';
import { StoreClient } from './transport/store-client.js';
import { systemClock } from './transport/system-clock.js';
import { createUserApi } from './transport/user-api.js';
import { WorkerClient } from './transport/worker-client.js';

/**
 * Default of `--policy`: the policy file of the installation. The path is relative to the running module,
 * whose directory, `src/` or that of the bundle, is next to `deploy/`.
 */
const DEFAULT_POLICY_FILE = new URL('../deploy/policy.toml', import.meta.url);
/**
 * Time to live of a controller's lease in the key-value store. The failure of a controller can go unnoticed
 * until its lease expires.
 */
const CONTROLLER_LEASE_TTL_MS = 3500;

interface Configuration {
  settings: Settings;
  policy: PolicyFn;
}

function loadConfiguration(options: CommandOptions): Configuration {
  return {
    settings: loadSettings(options.config),
    policy: loadPolicy(options.policy ?? DEFAULT_POLICY_FILE),
  };
}

/** The controller options that are taken from the settings. */
type DerivedControllerOptions = Pick<
  ControllerOptions,
  | 'nodeName'
  | 'peerNames'
  | 'teams'
  | 'workerTiming'
  | 'storeLimits'
  | 'machineListLagSeconds'
  | 'cloudCallsPerSecond'
  | 'objectives'
>;

/**
 * Maps the settings to controller options. The peers of a controller, which are the other controllers, are
 * named `siblings` in the settings.
 */
function deriveControllerOptions(settings: Settings): DerivedControllerOptions {
  const { teams, workers, state, cloud, objectives } = settings.params;
  return {
    nodeName: settings.host_name,
    peerNames: settings.siblings.map((peer) => peer.host_name),
    teams: teams.map((team) => ({
      name: team.name,
      guaranteedCpus: team.cpus,
      maxCpus: team.cpus_max,
      guaranteedGpus: team.gpus,
      maxGpus: team.gpus_max,
    })),
    workerTiming: {
      heartbeatIntervalSeconds: workers.report_s,
      leaseSeconds: workers.lease_s,
      cancellationSeconds: workers.cancel_s,
    },
    storeLimits: {
      maxValueKb: state.value_kb,
      maxTransactionOperations: state.txn_ops,
      writesPerSecond: state.write_rps,
    },
    machineListLagSeconds: cloud.list_lag_s,
    cloudCallsPerSecond: cloud.rps,
    objectives: objectives.map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class ?? '',
      withinSeconds: objective.within_s ?? 0,
    })),
  };
}

interface ControllerDependencies extends Configuration {
  maxWorkerConnections: number;
  log: Logger;
}

function createController({
  settings,
  policy,
  maxWorkerConnections,
  log,
}: ControllerDependencies): Controller {
  const { services, params } = settings;
  // The callbacks may use `controller`, which is declared below: they are called for network events only,
  // which occur after this function has returned.
  const peerTransport = new PeerConnections({
    bind: settings.mesh_addr,
    peerAddresses: settings.siblings.map((peer) => ({ nodeName: peer.host_name, address: peer.peer_addr })),
    log,
    onMessage: (message) => controller.push({ type: 'peerMessage', message }),
    onConnectionChange: (nodeName, isUp) => controller.push({ type: 'peerConnection', nodeName, isUp }),
  });
  const controller: Controller = new Controller({
    ...deriveControllerOptions(settings),
    instanceId: `${settings.host_name}.${randomBytes(6).toString('hex')}`,
    leaseTtlMs: CONTROLLER_LEASE_TTL_MS,
    policy,
    clock: systemClock,
    log,
    store: new StoreClient(services.state, {
      requestsPerSecond: params.state.rps,
      writesPerSecond: params.state.write_rps,
      controllerCount: params.size,
    }),
    cloud: new CloudClient(services.cloud, params.cloud.rps),
    workers: new WorkerClient(maxWorkerConnections),
    peerTransport,
  });
  return controller;
}

interface HttpServerDependencies {
  controller: Controller;
  /** Address to listen on for workers, users and health checks, `HOST:PORT`. */
  bind: string;
  maxConnections: number;
  log: Logger;
}

function startHttpServer({ controller, bind, maxConnections, log }: HttpServerDependencies): void {
  const userApi = createUserApi({ controller, clock: systemClock, log });
  const server = new HttpServer({
    handleRequest: createRequestHandler({ userApi, controller, log }),
    inboundConnections: new InboundConnections(maxConnections, systemClock.now),
    now: systemClock.now,
  });
  server.listen(bind, (error) => {
    log.error({ err: String(error) }, 'HTTP server failed to listen');
    process.exit(EXIT_CODE.failure);
  });
}

function serve(options: CommandOptions): void {
  const { settings, policy } = loadConfiguration(options);
  const log = createLogger(settings.host_name);
  logUnhandledErrors(log);
  const budget = computeSocketBudget(settings.params.limits.fd_limit, settings.siblings.length);
  const controller = createController({ settings, policy, maxWorkerConnections: budget.workers, log });
  controller.start();
  startHttpServer({ controller, bind: settings.bind, maxConnections: budget.inbound, log });
  // The HTTP server may not be listening yet; if it fails to listen, that is logged and the process exits.
  log.info({ bind: settings.bind, peerBind: settings.mesh_addr }, 'controller started');
}

runCommandLine({
  serve,
  check: (options) => void loadConfiguration(options),
});
