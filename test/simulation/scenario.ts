import type { JobSpec } from '../../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { ClusterSimulation } from './cluster-simulation.js';
import type { CutMode } from './simulated-network.js';

export function makeJobSpec(w: ClusterSimulation, over: Partial<JobSpec>): JobSpec {
  return {
    id: `wk-${String(w.jobs.size + 1).padStart(6, '0')}`,
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

function randomJob(w: ClusterSimulation): JobSpec {
  const s = w.simulator;
  const shape = s.pick(['array', 'array', 'array', 'service', 'gang'] as const);
  const checkpointS = s.chance(0.3) ? 1 : 0;
  return makeJobSpec(w, {
    team: s.pick(w.config.teams).name,
    kind: shape,
    priority: shape === 'service' ? 0 : s.pick([1, 2, 3] as const),
    taskCount: shape === 'array' ? 1 + Math.floor(s.random() * 14) : 1 + Math.floor(s.random() * 3),
    cpus: s.pick([1, 1, 2, 4]),
    memoryGb: s.pick([1, 2, 4]),
    image: s.pick(['i1', 'i2', 'i3']),
    machineTypes: s.chance(0.15)
      ? w.config.machineTypes.some((machineType) => machineType.name === 'big')
        ? ['big']
        : ['small']
      : null,
    zone: s.chance(0.15) ? 'a' : null,
    zoneAffinity: s.chance(0.15),
    zoneAntiAffinity: shape === 'service' && s.chance(0.5),
    spotAllowed: shape !== 'service' && s.chance(0.7),
    checkpointIntervalSeconds: checkpointS,
    checkpointSaveSeconds: checkpointS,
  });
}

/** Troubles drawn by the seed, single and overlapping; all are over by `until`. */
function injectFault(w: ClusterSimulation, until: number): void {
  const s = w.simulator;
  const mode: CutMode = s.pick(['hold', 'reset']);
  const host = s.pick(w.nodeNames);
  const forMs = Math.min(s.between(2000, 45000), Math.max(1000, until - s.now));
  const cut = (pairs: [string, string][]) => {
    for (const [a, b] of pairs) w.network.cut(a, b, mode);
    s.scheduleAfter(forMs, () => {
      for (const [a, b] of pairs) w.network.heal(a, b);
      for (const h of w.nodeNames)
        for (const o of w.nodeNames) {
          const process = w.controllers.get(h);
          if (h !== o && mode === 'reset' && process?.isAlive)
            process.controller.push({ type: 'peerConnection', nodeName: o, isUp: true });
        }
    });
  };
  const machines = [...w.workers.keys()];
  const others = w.nodeNames.filter((h) => h !== host);
  switch (Math.floor(s.random() * 30)) {
    case 0:
      return w.crashController(host, s.chance(0.3) ? s.between(50, 400) : 2500);
    case 1:
      for (const h of w.nodeNames) w.crashController(h, s.between(100, 4000));
      return;
    case 2:
      w.nodeNames.forEach((h, i) => s.scheduleAfter(i * 6000, () => w.crashController(h, 1500)));
      return;
    case 3:
      return cut([[host, 'state']]);
    case 4:
      return cut(machines.map((m) => [host, m] as [string, string]));
    case 5:
      return cut(
        [...others, ...machines, 'state', 'cloud', 'users'].map((x) => [host, x] as [string, string]),
      );
    case 6:
      return cut(others.map((o) => [host, o] as [string, string]));
    case 7:
      w.store.setDown(true);
      return s.scheduleAfter(Math.min(forMs, 25000), () => w.store.setDown(false));
    case 8:
      w.store.refusedNodes.add(host);
      return s.scheduleAfter(forMs, () => w.store.readmit(host));
    case 9: {
      const m = machines.length > 0 ? s.pick(machines) : null;
      if (!m) return;
      return cut([...w.nodeNames, 'state'].map((h) => [h, m] as [string, string]));
    }
    case 10: {
      const x = machines.length > 0 ? w.workers.get(s.pick(machines)) : null;
      if (!x) return;
      x.isHung = true;
      return s.scheduleAfter(Math.min(forMs, 15000), () => {
        x.isHung = false;
      });
    }
    case 11:
      for (const [name, x] of [...w.workers])
        if (x.isSpot && s.chance(0.5)) {
          if (s.chance(0.5)) x.evictionAt = s.now + 4000;
          s.scheduleAfter(x.evictionAt ? 4000 : s.between(0, 3000), () => w.destroyMachine(name));
        }
      return;
    case 12:
      w.cloud.isDown = true;
      return s.scheduleAfter(forMs, () => {
        w.cloud.isDown = false;
      });
    case 13:
      return w.store.loseHistory();
    case 15:
      w.duplicatesMessages = true;
      return s.scheduleAfter(forMs, () => {
        w.duplicatesMessages = false;
      });
    case 16: {
      // Heard, but nothing reaches them; now and then the whole fleet at once.
      const some = s.chance(0.2) ? machines : machines.filter(() => s.chance(0.3));
      for (const m of some) w.network.unreachableInbound.add(m);
      return s.scheduleAfter(forMs, () => {
        for (const m of some) w.network.unreachableInbound.delete(m);
      });
    }
    case 17:
      return cut([...others, 'state'].map((x) => [host, x] as [string, string]));
    case 18:
      return cut(
        w.nodeNames.flatMap((a) => w.nodeNames.filter((b) => a < b).map((b) => [a, b] as [string, string])),
      );
    case 19:
      w.network.slowdowns.set('state', 100);
      return s.scheduleAfter(forMs, () => void w.network.slowdowns.delete('state'));
    case 21:
      w.lateWriteShare = s.between(0.05, 0.4);
      return s.scheduleAfter(forMs, () => {
        w.lateWriteShare = 0;
      });
    case 28:
      w.lostAnswerShare = s.between(0.1, 0.6);
      return s.scheduleAfter(forMs, () => {
        w.lostAnswerShare = 0;
      });
    case 29:
      return overloadTeam(w);
    case 22: {
      const some = s.chance(0.2) ? machines : machines.filter(() => s.chance(0.4));
      for (const m of some) w.network.unreachableOutbound.add(m);
      return s.scheduleAfter(forMs, () => {
        for (const m of some) w.network.unreachableOutbound.delete(m);
      });
    }
    case 23:
      return w.pauseController(host, Math.min(forMs, s.between(1000, 30000)));
    case 24: {
      // Refused alone, then an outage for all, with cancellations in between and questions meanwhile.
      w.store.refusedNodes.add(host);
      s.scheduleAfter(s.between(100, 900), () => w.cancelRunningJobs(3, 0));
      s.scheduleAfter(1000, () => w.store.setDown(true));
      return s.scheduleAfter(Math.min(forMs + 1000, 60000), () => {
        w.store.setDown(false);
        w.store.readmit(host);
      });
    }
    case 25:
      return w.cancelRunningJobs(4, s.chance(0.5) ? s.between(5000, 25000) : 0);
    case 26:
      w.cancelsAtCompletion = true;
      return s.scheduleAfter(forMs, () => {
        w.cancelsAtCompletion = false;
      });
    case 27:
      for (let i = 0; i < 6; i++) s.scheduleAfter(s.between(0, forMs), () => w.sendUnusualRequest());
      return;
    case 20:
      // Back at once, and gone again in the midst of the election.
      w.crashController(host, s.between(20, 200));
      s.scheduleAfter(s.between(200, 900), () => w.crashController(host, s.between(20, 200)));
      return s.scheduleAfter(s.between(200, 3500), () =>
        w.crashController(s.pick(w.nodeNames), s.between(20, 200)),
      );
    case 14: {
      const inside = [host, ...[...w.workers.values()].filter((x) => x.zone === 'a').map((x) => x.name)];
      const outside = [
        ...others,
        ...[...w.workers.values()].filter((x) => x.zone === 'b').map((x) => x.name),
        'state',
        'cloud',
        'users',
      ];
      return cut(inside.flatMap((a) => outside.map((b) => [a, b] as [string, string])));
    }
  }
}

/** One team gets more short work than its limit admits for a while. */
function overloadTeam(w: ClusterSimulation): void {
  const team = w.simulator.pick(w.config.teams).name;
  for (let i = 0; i < 8; i++)
    w.submitJob(makeJobSpec(w, { team, taskCount: 6, cpus: w.simulator.pick([1, 2, 4]), priority: 2 }));
}

/**
 * A seeded day on which every team is held at its limit while transactions get no answer, carried out at once or late, and
 * one other trouble meets that.
 */
export function runIndeterminateWritesScenario(seed: number): ClusterSimulation {
  const w = new ClusterSimulation(seed, {
    ...CLUSTER_CONFIG,
    teams: CLUSTER_CONFIG.teams.map((team) => ({ ...team, maxCpus: team.maxCpus / 2 })),
  });
  const s = w.simulator;
  const busy = 100000;
  for (const { name } of w.config.teams)
    for (let i = 0; i < 24; i++)
      s.scheduleAt(s.between(0, 60000), () => {
        const next = makeJobSpec(w, {
          team: name,
          taskCount: 1 + Math.floor(s.random() * 6),
          cpus: s.pick([1, 2, 4]),
        });
        w.submitJob(next);
        if (s.chance(0.2)) s.scheduleAfter(s.between(200, 40000), () => cancelWhenAccepted(w, next.id));
      });
  s.scheduleAt(8000, () => {
    w.lostAnswerShare = s.pick([0, 0.3, 0.5]);
    w.lateWriteShare = w.lostAnswerShare > 0 ? s.pick([0, 0.2]) : 0.4;
    // The jobs of one write are read again at different times.
    w.maxReadDelayMs = s.pick([0, 50, 300]);
  });
  if (seed % 2 === 0) s.scheduleAt(s.between(20000, 50000), () => injectFault(w, busy));
  s.scheduleAt(busy, () => {
    w.lostAnswerShare = 0;
    w.lateWriteShare = 0;
    w.maxReadDelayMs = 0;
  });
  w.faultsEndAt = busy + 5000;
  s.run(busy + 200000);
  return w;
}

/** One seeded day: jobs, cancellations and troubles, then a quiet end in which all accepted work must finish. */
export function runScenario(
  seed: number,
  faultCount: number,
  config: ClusterConfig = CLUSTER_CONFIG,
): ClusterSimulation {
  const w = new ClusterSimulation(seed, config);
  const s = w.simulator;
  const busy = 120000;
  for (let i = 0; i < 14; i++) {
    const at = s.chance(0.4) ? s.between(0, 3000) : s.between(0, busy);
    s.scheduleAt(at, () => {
      const j = randomJob(w);
      if (s.chance(0.06) && j.kind === 'array') w.failingJobs.add(j.id);
      w.submitJob(j);
      if (s.chance(0.25) || j.kind === 'service' || w.failingJobs.has(j.id))
        s.scheduleAfter(s.between(200, 60000), () => cancelWhenAccepted(w, j.id));
    });
  }
  for (let i = 0; i < faultCount; i++) s.scheduleAt(s.between(3000, busy), () => injectFault(w, busy + 5000));
  w.faultsEndAt = busy + 5000;
  s.scheduleAt(1000, () => w.queryUnknownJob());
  w.simulator.run(busy + 200000);
  return w;
}

function cancelWhenAccepted(w: ClusterSimulation, id: string): void {
  if (w.jobs.get(id)?.accepted) w.cancelJob(id);
  else w.simulator.scheduleAfter(1000, () => cancelWhenAccepted(w, id));
}
