import type { JobSpec } from '../../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { ClusterSimulation } from './cluster-simulation.js';
import type { CutMode } from './simulated-network.js';

export function makeJobSpec(simulation: ClusterSimulation, over: Partial<JobSpec>): JobSpec {
  return {
    id: `wk-${String(simulation.jobs.size + 1).padStart(6, '0')}`,
    jobClass: 'c',
    team: 'red',
    kind: 'array',
    priority: 2,
    taskCount: 3,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'img-1',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    zoneAffinity: false,
    zoneAntiAffinity: false,
    spotAllowed: true,
    estimatedRunSeconds: 5,
    checkpointIntervalSeconds: 0,
    checkpointSaveSeconds: 0,
    deadlineSeconds: null,
    acceptedAtMs: 0,
    ...over,
  };
}

function randomJob(simulation: ClusterSimulation): JobSpec {
  const simulator = simulation.simulator;
  const shape = simulator.pick(['array', 'array', 'array', 'service', 'gang'] as const);
  const checkpointS = simulator.chance(0.3) ? 1 : 0;
  return makeJobSpec(simulation, {
    team: simulator.pick(simulation.config.teams).name,
    kind: shape,
    priority: shape === 'service' ? 0 : simulator.pick([1, 2, 3] as const),
    taskCount:
      shape === 'array' ? 1 + Math.floor(simulator.random() * 14) : 1 + Math.floor(simulator.random() * 3),
    cpus: simulator.pick([1, 1, 2, 4]),
    memoryGb: simulator.pick([1, 2, 4]),
    image: simulator.pick(['i1', 'i2', 'i3']),
    machineTypes: simulator.chance(0.15)
      ? simulation.config.machineTypes.some((machineType) => machineType.name === 'big')
        ? ['big']
        : ['small']
      : null,
    zone: simulator.chance(0.15) ? 'a' : null,
    zoneAffinity: simulator.chance(0.15),
    zoneAntiAffinity: shape === 'service' && simulator.chance(0.5),
    spotAllowed: shape !== 'service' && simulator.chance(0.7),
    checkpointIntervalSeconds: checkpointS,
    checkpointSaveSeconds: checkpointS,
  });
}

/** Troubles drawn by the seed, single and overlapping; all are over by `until`. */
function injectFault(simulation: ClusterSimulation, until: number): void {
  const simulator = simulation.simulator;
  const mode: CutMode = simulator.pick(['hold', 'reset']);
  const nodeName = simulator.pick(simulation.nodeNames);
  const forMs = Math.min(simulator.between(2000, 45000), Math.max(1000, until - simulator.now));
  const cut = (pairs: [string, string][]) => {
    for (const [a, b] of pairs) simulation.network.cut(a, b, mode);
    simulator.scheduleAfter(forMs, () => {
      for (const [a, b] of pairs) simulation.network.heal(a, b);
      for (const h of simulation.nodeNames)
        for (const o of simulation.nodeNames) {
          const process = simulation.controllers.get(h);
          if (h !== o && mode === 'reset' && process?.isAlive)
            process.controller.push({ type: 'peerConnection', nodeName: o, isUp: true });
        }
    });
  };
  const machines = [...simulation.workers.keys()];
  const others = simulation.nodeNames.filter((h) => h !== nodeName);
  switch (Math.floor(simulator.random() * 30)) {
    case 0:
      return simulation.crashController(nodeName, simulator.chance(0.3) ? simulator.between(50, 400) : 2500);
    case 1:
      for (const h of simulation.nodeNames) simulation.crashController(h, simulator.between(100, 4000));
      return;
    case 2:
      simulation.nodeNames.forEach((h, i) =>
        simulator.scheduleAfter(i * 6000, () => simulation.crashController(h, 1500)),
      );
      return;
    case 3:
      return cut([[nodeName, 'state']]);
    case 4:
      return cut(machines.map((m) => [nodeName, m] as [string, string]));
    case 5:
      return cut(
        [...others, ...machines, 'state', 'cloud', 'users'].map((x) => [nodeName, x] as [string, string]),
      );
    case 6:
      return cut(others.map((o) => [nodeName, o] as [string, string]));
    case 7:
      simulation.store.setDown(true);
      return simulator.scheduleAfter(Math.min(forMs, 25000), () => simulation.store.setDown(false));
    case 8:
      simulation.store.refusedNodes.add(nodeName);
      return simulator.scheduleAfter(forMs, () => simulation.store.readmit(nodeName));
    case 9: {
      const m = machines.length > 0 ? simulator.pick(machines) : null;
      if (!m) return;
      return cut([...simulation.nodeNames, 'state'].map((h) => [h, m] as [string, string]));
    }
    case 10: {
      const worker = machines.length > 0 ? simulation.workers.get(simulator.pick(machines)) : null;
      if (!worker) return;
      worker.isHung = true;
      return simulator.scheduleAfter(Math.min(forMs, 15000), () => {
        worker.isHung = false;
      });
    }
    case 11:
      for (const [name, worker] of [...simulation.workers])
        if (worker.isSpot && simulator.chance(0.5)) {
          if (simulator.chance(0.5)) worker.evictionAt = simulator.now + 4000;
          simulator.scheduleAfter(worker.evictionAt ? 4000 : simulator.between(0, 3000), () =>
            simulation.destroyMachine(name),
          );
        }
      return;
    case 12:
      simulation.cloud.isDown = true;
      return simulator.scheduleAfter(forMs, () => {
        simulation.cloud.isDown = false;
      });
    case 13:
      return simulation.store.loseHistory();
    case 15:
      simulation.duplicatesMessages = true;
      return simulator.scheduleAfter(forMs, () => {
        simulation.duplicatesMessages = false;
      });
    case 16: {
      // Heard, but nothing reaches them; now and then the whole fleet at once.
      const some = simulator.chance(0.2) ? machines : machines.filter(() => simulator.chance(0.3));
      for (const m of some) simulation.network.unreachableInbound.add(m);
      return simulator.scheduleAfter(forMs, () => {
        for (const m of some) simulation.network.unreachableInbound.delete(m);
      });
    }
    case 17:
      return cut([...others, 'state'].map((x) => [nodeName, x] as [string, string]));
    case 18:
      return cut(
        simulation.nodeNames.flatMap((a) =>
          simulation.nodeNames.filter((b) => a < b).map((b) => [a, b] as [string, string]),
        ),
      );
    case 19:
      simulation.network.slowdowns.set('state', 100);
      return simulator.scheduleAfter(forMs, () => void simulation.network.slowdowns.delete('state'));
    case 21:
      simulation.lateWriteShare = simulator.between(0.05, 0.4);
      return simulator.scheduleAfter(forMs, () => {
        simulation.lateWriteShare = 0;
      });
    case 28:
      simulation.lostAnswerShare = simulator.between(0.1, 0.6);
      return simulator.scheduleAfter(forMs, () => {
        simulation.lostAnswerShare = 0;
      });
    case 29:
      return overloadTeam(simulation);
    case 22: {
      const some = simulator.chance(0.2) ? machines : machines.filter(() => simulator.chance(0.4));
      for (const m of some) simulation.network.unreachableOutbound.add(m);
      return simulator.scheduleAfter(forMs, () => {
        for (const m of some) simulation.network.unreachableOutbound.delete(m);
      });
    }
    case 23:
      return simulation.pauseController(nodeName, Math.min(forMs, simulator.between(1000, 30000)));
    case 24: {
      // Refused alone, then an outage for all, with cancellations in between and questions meanwhile.
      simulation.store.refusedNodes.add(nodeName);
      simulator.scheduleAfter(simulator.between(100, 900), () => simulation.cancelRunningJobs(3, 0));
      simulator.scheduleAfter(1000, () => simulation.store.setDown(true));
      return simulator.scheduleAfter(Math.min(forMs + 1000, 60000), () => {
        simulation.store.setDown(false);
        simulation.store.readmit(nodeName);
      });
    }
    case 25:
      return simulation.cancelRunningJobs(4, simulator.chance(0.5) ? simulator.between(5000, 25000) : 0);
    case 26:
      simulation.cancelsAtCompletion = true;
      return simulator.scheduleAfter(forMs, () => {
        simulation.cancelsAtCompletion = false;
      });
    case 27:
      for (let i = 0; i < 6; i++)
        simulator.scheduleAfter(simulator.between(0, forMs), () => simulation.sendUnusualRequest());
      return;
    case 20:
      // Back at once, and gone again in the midst of the election.
      simulation.crashController(nodeName, simulator.between(20, 200));
      simulator.scheduleAfter(simulator.between(200, 900), () =>
        simulation.crashController(nodeName, simulator.between(20, 200)),
      );
      return simulator.scheduleAfter(simulator.between(200, 3500), () =>
        simulation.crashController(simulator.pick(simulation.nodeNames), simulator.between(20, 200)),
      );
    case 14: {
      const inside = [
        nodeName,
        ...[...simulation.workers.values()].filter((x) => x.zone === 'a').map((x) => x.name),
      ];
      const outside = [
        ...others,
        ...[...simulation.workers.values()].filter((x) => x.zone === 'b').map((x) => x.name),
        'state',
        'cloud',
        'users',
      ];
      return cut(inside.flatMap((a) => outside.map((b) => [a, b] as [string, string])));
    }
  }
}

/** One team gets more short work than its limit admits for a while. */
function overloadTeam(simulation: ClusterSimulation): void {
  const team = simulation.simulator.pick(simulation.config.teams).name;
  for (let i = 0; i < 8; i++)
    simulation.submitJob(
      makeJobSpec(simulation, {
        team,
        taskCount: 6,
        cpus: simulation.simulator.pick([1, 2, 4]),
        priority: 2,
      }),
    );
}

/**
 * A seeded day on which every team is held at its limit while transactions get no answer, carried out at once or late, and
 * one other trouble meets that.
 */
export function runIndeterminateWritesScenario(seed: number): ClusterSimulation {
  const simulation = new ClusterSimulation(seed, {
    ...CLUSTER_CONFIG,
    teams: CLUSTER_CONFIG.teams.map((team) => ({ ...team, maxCpus: team.maxCpus / 2 })),
  });
  const simulator = simulation.simulator;
  const busy = 100000;
  for (const { name } of simulation.config.teams)
    for (let i = 0; i < 24; i++)
      simulator.scheduleAt(simulator.between(0, 60000), () => {
        const next = makeJobSpec(simulation, {
          team: name,
          taskCount: 1 + Math.floor(simulator.random() * 6),
          cpus: simulator.pick([1, 2, 4]),
        });
        simulation.submitJob(next);
        if (simulator.chance(0.2))
          simulator.scheduleAfter(simulator.between(200, 40000), () =>
            cancelWhenAccepted(simulation, next.id),
          );
      });
  simulator.scheduleAt(8000, () => {
    simulation.lostAnswerShare = simulator.pick([0, 0.3, 0.5]);
    simulation.lateWriteShare = simulation.lostAnswerShare > 0 ? simulator.pick([0, 0.2]) : 0.4;
    // The jobs of one write are read again at different times.
    simulation.maxReadDelayMs = simulator.pick([0, 50, 300]);
  });
  if (seed % 2 === 0)
    simulator.scheduleAt(simulator.between(20000, 50000), () => injectFault(simulation, busy));
  simulator.scheduleAt(busy, () => {
    simulation.lostAnswerShare = 0;
    simulation.lateWriteShare = 0;
    simulation.maxReadDelayMs = 0;
  });
  simulation.faultsEndAt = busy + 5000;
  simulator.run(busy + 200000);
  return simulation;
}

/** One seeded day: jobs, cancellations and troubles, then a quiet end in which all accepted work must finish. */
export function runScenario(
  seed: number,
  faultCount: number,
  config: ClusterConfig = CLUSTER_CONFIG,
): ClusterSimulation {
  const simulation = new ClusterSimulation(seed, config);
  const simulator = simulation.simulator;
  const busy = 120000;
  for (let i = 0; i < 14; i++) {
    const at = simulator.chance(0.4) ? simulator.between(0, 3000) : simulator.between(0, busy);
    simulator.scheduleAt(at, () => {
      const spec = randomJob(simulation);
      if (simulator.chance(0.06) && spec.kind === 'array') simulation.failingJobs.add(spec.id);
      simulation.submitJob(spec);
      if (simulator.chance(0.25) || spec.kind === 'service' || simulation.failingJobs.has(spec.id))
        simulator.scheduleAfter(simulator.between(200, 60000), () => cancelWhenAccepted(simulation, spec.id));
    });
  }
  for (let i = 0; i < faultCount; i++)
    simulator.scheduleAt(simulator.between(3000, busy), () => injectFault(simulation, busy + 5000));
  simulation.faultsEndAt = busy + 5000;
  simulator.scheduleAt(1000, () => simulation.queryUnknownJob());
  simulation.simulator.run(busy + 200000);
  return simulation;
}

function cancelWhenAccepted(simulation: ClusterSimulation, id: string): void {
  if (simulation.jobs.get(id)?.accepted) simulation.cancelJob(id);
  else simulation.simulator.scheduleAfter(1000, () => cancelWhenAccepted(simulation, id));
}
