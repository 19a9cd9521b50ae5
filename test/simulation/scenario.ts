/** Seeded scenarios on a whole cluster: jobs, cancellations and faults, then time for all work to finish. */

import type { JobSpec } from '../../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { ClusterSimulation } from './cluster-simulation.js';
import { injectFault } from './faults.js';
import { makeJobSpec } from './job-spec.js';

/** Length of the fault-free period at the end, in which all accepted work must finish. */
const FAULT_FREE_MS = 200_000;

function randomJobSpec(simulation: ClusterSimulation): JobSpec {
  const { simulator, config } = simulation;
  const kind = simulator.pick(['array', 'array', 'array', 'service', 'gang'] as const);
  const checkpointSeconds = simulator.chance(0.3) ? 1 : 0;
  const largestType = config.machineTypes.some(({ name }) => name === 'big') ? 'big' : 'small';
  return makeJobSpec(simulation, {
    team: simulator.pick(config.teams).name,
    kind,
    priority: kind === 'service' ? 0 : simulator.pick([1, 2, 3] as const),
    taskCount: 1 + Math.floor(simulator.random() * (kind === 'array' ? 14 : 3)),
    cpus: simulator.pick([1, 1, 2, 4]),
    memoryGb: simulator.pick([1, 2, 4]),
    image: simulator.pick(['i1', 'i2', 'i3']),
    machineTypes: simulator.chance(0.15) ? [largestType] : null,
    zone: simulator.chance(0.15) ? 'a' : null,
    zoneAffinity: simulator.chance(0.15),
    zoneAntiAffinity: kind === 'service' && simulator.chance(0.5),
    spotAllowed: kind !== 'service' && simulator.chance(0.7),
    checkpointIntervalSeconds: checkpointSeconds,
    checkpointSaveSeconds: checkpointSeconds,
  });
}

/**
 * Runs random jobs and cancellations with `faultCount` random faults, then a fault-free period in which all
 * accepted work must finish.
 */
export function runScenario(
  seed: number,
  faultCount: number,
  config: ClusterConfig = CLUSTER_CONFIG,
): ClusterSimulation {
  const simulation = new ClusterSimulation(seed, config);
  const { simulator, failingJobs, users } = simulation;
  const activityEndsAt = 120_000;
  for (let index = 0; index < 14; index++) {
    const at = simulator.chance(0.4) ? simulator.between(0, 3000) : simulator.between(0, activityEndsAt);
    simulator.scheduleAt(at, () => {
      const spec = randomJobSpec(simulation);
      if (simulator.chance(0.06) && spec.kind === 'array') failingJobs.add(spec.id);
      users.submitJob(spec);
      if (simulator.chance(0.25) || spec.kind === 'service' || failingJobs.has(spec.id))
        simulator.scheduleAfter(simulator.between(200, 60000), () => cancelWhenAccepted(simulation, spec.id));
    });
  }
  for (let index = 0; index < faultCount; index++)
    simulator.scheduleAt(simulator.between(3000, activityEndsAt), () =>
      injectFault(simulation, activityEndsAt + 5000),
    );
  simulation.faultsEndAt = activityEndsAt + 5000;
  simulator.scheduleAt(1000, () => users.pollUnknownJob());
  simulator.run(activityEndsAt + FAULT_FREE_MS);
  return simulation;
}

/**
 * Keeps each team that has a quota at its limit while some transactions get no response and are executed at
 * once or late. Even seeds add one other fault.
 */
export function runIndeterminateWritesScenario(seed: number): ClusterSimulation {
  const teams = CLUSTER_CONFIG.teams.map((team) => ({ ...team, maxCpus: team.maxCpus / 2 }));
  const simulation = new ClusterSimulation(seed, { ...CLUSTER_CONFIG, teams });
  const { simulator } = simulation;
  const activityEndsAt = 100_000;
  for (const { name } of teams)
    for (let index = 0; index < 24; index++)
      simulator.scheduleAt(simulator.between(0, 60000), () => submitRandomArray(simulation, name));
  simulator.scheduleAt(8000, () => {
    simulation.lostResponseShare = simulator.pick([0, 0.3, 0.5]);
    simulation.delayedWriteShare = simulation.lostResponseShare > 0 ? simulator.pick([0, 0.2]) : 0.4;
    // Reads are delayed at random, so the jobs of an indeterminate write are reloaded at different times.
    simulation.maxReadDelayMs = simulator.pick([0, 50, 300]);
  });
  if (seed % 2 === 0)
    simulator.scheduleAt(simulator.between(20000, 50000), () => injectFault(simulation, activityEndsAt));
  simulator.scheduleAt(activityEndsAt, () => {
    simulation.lostResponseShare = 0;
    simulation.delayedWriteShare = 0;
    simulation.maxReadDelayMs = 0;
  });
  simulation.faultsEndAt = activityEndsAt + 5000;
  simulator.run(activityEndsAt + FAULT_FREE_MS);
  return simulation;
}

function submitRandomArray(simulation: ClusterSimulation, team: string): void {
  const { simulator, users } = simulation;
  const taskCount = 1 + Math.floor(simulator.random() * 6);
  const spec = makeJobSpec(simulation, { team, taskCount, cpus: simulator.pick([1, 2, 4]) });
  users.submitJob(spec);
  if (simulator.chance(0.2))
    simulator.scheduleAfter(simulator.between(200, 40000), () => cancelWhenAccepted(simulation, spec.id));
}

function cancelWhenAccepted(simulation: ClusterSimulation, id: string): void {
  if (simulation.jobs.get(id)?.accepted) simulation.users.cancelJob(id);
  else simulation.simulator.scheduleAfter(1000, () => cancelWhenAccepted(simulation, id));
}
