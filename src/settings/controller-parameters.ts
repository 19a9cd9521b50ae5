/** The settings in the controller's own terms. */

import type { ControllerOptions } from '../core/controller.js';
import type { Settings } from './settings.js';

/** What a controller takes from the settings. */
export type ControllerParameters = Pick<
  ControllerOptions,
  'host' | 'peers' | 'teams' | 'workers' | 'state' | 'listLagS' | 'cloudRps' | 'objectives'
>;

/** Maps the settings, whose names are the platform's. */
export function controllerParameters(settings: Settings): ControllerParameters {
  const { teams, workers, state, cloud, objectives } = settings.params;
  return {
    host: settings.host_name,
    peers: settings.siblings.map((peer) => peer.host_name),
    teams: teams.map((team) => ({
      name: team.name,
      cpus: team.cpus,
      cpusMax: team.cpus_max,
      gpus: team.gpus,
      gpusMax: team.gpus_max,
    })),
    workers: { reportS: workers.report_s, leaseS: workers.lease_s, cancelS: workers.cancel_s },
    state: { valueKb: state.value_kb, txnOps: state.txn_ops, writeRps: state.write_rps },
    listLagS: cloud.list_lag_s,
    cloudRps: cloud.rps,
    objectives: objectives.map((objective) => ({
      kind: objective.kind,
      cls: objective.class ?? '',
      withinS: objective.within_s ?? 0,
    })),
  };
}
