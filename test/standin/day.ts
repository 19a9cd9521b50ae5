import type { JobSpec } from '../../src/model/job.js';
import { SHAPE, type Shape } from './shape.js';
import type { Mode } from './sim.js';
import { World } from './world.js';

export function job(w: World, over: Partial<JobSpec>): JobSpec {
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

function randomJob(w: World): JobSpec {
  const s = w.sim;
  const shape = s.pick(['array', 'array', 'array', 'service', 'gang'] as const);
  const checkpointS = s.chance(0.3) ? 1 : 0;
  return job(w, {
    team: s.pick(w.shape.teams).name,
    kind: shape,
    priority: shape === 'service' ? 0 : s.pick([1, 2, 3] as const),
    taskCount: shape === 'array' ? 1 + Math.floor(s.random() * 14) : 1 + Math.floor(s.random() * 3),
    cpus: s.pick([1, 1, 2, 4]),
    memoryGb: s.pick([1, 2, 4]),
    image: s.pick(['i1', 'i2', 'i3']),
    machineTypes: s.chance(0.15)
      ? w.shape.types.some((machineType) => machineType.name === 'big')
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
function trouble(w: World, until: number): void {
  const s = w.sim;
  const mode: Mode = s.pick(['hold', 'reset']);
  const host = s.pick(w.hosts);
  const forMs = Math.min(s.between(2000, 45000), Math.max(1000, until - s.now));
  const cut = (pairs: [string, string][]) => {
    for (const [a, b] of pairs) w.net.cut(a, b, mode);
    s.after(forMs, () => {
      for (const [a, b] of pairs) w.net.heal(a, b);
      for (const h of w.hosts)
        for (const o of w.hosts) {
          const process = w.procs.get(h);
          if (h !== o && mode === 'reset' && process?.alive)
            process.ctl.push({ type: 'peerConnection', nodeName: o, isUp: true });
        }
    });
  };
  const machines = [...w.workers.keys()];
  const others = w.hosts.filter((h) => h !== host);
  switch (Math.floor(s.random() * 30)) {
    case 0:
      return w.kill(host, s.chance(0.3) ? s.between(50, 400) : 2500);
    case 1:
      for (const h of w.hosts) w.kill(h, s.between(100, 4000));
      return;
    case 2:
      w.hosts.forEach((h, i) => s.after(i * 6000, () => w.kill(h, 1500)));
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
      w.state.setDown(true);
      return s.after(Math.min(forMs, 25000), () => w.state.setDown(false));
    case 8:
      w.state.refused.add(host);
      return s.after(forMs, () => w.state.allow(host));
    case 9: {
      const m = machines.length > 0 ? s.pick(machines) : null;
      if (!m) return;
      return cut([...w.hosts, 'state'].map((h) => [h, m] as [string, string]));
    }
    case 10: {
      const x = machines.length > 0 ? w.workers.get(s.pick(machines)) : null;
      if (!x) return;
      x.hung = true;
      return s.after(Math.min(forMs, 15000), () => {
        x.hung = false;
      });
    }
    case 11:
      for (const [name, x] of [...w.workers])
        if (x.spot && s.chance(0.5)) {
          if (s.chance(0.5)) x.noticeAt = s.now + 4000;
          s.after(x.noticeAt ? 4000 : s.between(0, 3000), () => w.destroy(name));
        }
      return;
    case 12:
      w.cloud.down = true;
      return s.after(forMs, () => {
        w.cloud.down = false;
      });
    case 13:
      return w.state.loseHistory();
    case 15:
      w.copies = true;
      return s.after(forMs, () => {
        w.copies = false;
      });
    case 16: {
      // Heard, but nothing reaches them; now and then the whole fleet at once.
      const some = s.chance(0.2) ? machines : machines.filter(() => s.chance(0.3));
      for (const m of some) w.net.deaf.add(m);
      return s.after(forMs, () => {
        for (const m of some) w.net.deaf.delete(m);
      });
    }
    case 17:
      return cut([...others, 'state'].map((x) => [host, x] as [string, string]));
    case 18:
      return cut(w.hosts.flatMap((a) => w.hosts.filter((b) => a < b).map((b) => [a, b] as [string, string])));
    case 19:
      w.net.slow.set('state', 100);
      return s.after(forMs, () => void w.net.slow.delete('state'));
    case 21:
      w.lateWrites = s.between(0.05, 0.4);
      return s.after(forMs, () => {
        w.lateWrites = 0;
      });
    case 28:
      w.lostAnswers = s.between(0.1, 0.6);
      return s.after(forMs, () => {
        w.lostAnswers = 0;
      });
    case 29:
      return flood(w);
    case 22: {
      const some = s.chance(0.2) ? machines : machines.filter(() => s.chance(0.4));
      for (const m of some) w.net.mute.add(m);
      return s.after(forMs, () => {
        for (const m of some) w.net.mute.delete(m);
      });
    }
    case 23:
      return w.pause(host, Math.min(forMs, s.between(1000, 30000)));
    case 24: {
      // Refused alone, then an outage for all, with cancellations in between and questions meanwhile.
      w.state.refused.add(host);
      s.after(s.between(100, 900), () => w.cancelSome(3, 0));
      s.after(1000, () => w.state.setDown(true));
      return s.after(Math.min(forMs + 1000, 60000), () => {
        w.state.setDown(false);
        w.state.allow(host);
      });
    }
    case 25:
      return w.cancelSome(4, s.chance(0.5) ? s.between(5000, 25000) : 0);
    case 26:
      w.cancelAtEnd = true;
      return s.after(forMs, () => {
        w.cancelAtEnd = false;
      });
    case 27:
      for (let i = 0; i < 6; i++) s.after(s.between(0, forMs), () => w.oddRequest());
      return;
    case 20:
      // Back at once, and gone again in the midst of the election.
      w.kill(host, s.between(20, 200));
      s.after(s.between(200, 900), () => w.kill(host, s.between(20, 200)));
      return s.after(s.between(200, 3500), () => w.kill(s.pick(w.hosts), s.between(20, 200)));
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
function flood(w: World): void {
  const team = w.sim.pick(w.shape.teams).name;
  for (let i = 0; i < 8; i++)
    w.submit(job(w, { team, taskCount: 6, cpus: w.sim.pick([1, 2, 4]), priority: 2 }));
}

/**
 * A seeded day on which every team is held at its limit while transactions get no answer, carried out at once or late, and
 * one other trouble meets that.
 */
export function playDoubtfulDay(seed: number): World {
  const w = new World(seed, {
    ...SHAPE,
    teams: SHAPE.teams.map((team) => ({ ...team, maxCpus: team.maxCpus / 2 })),
  });
  const s = w.sim;
  const busy = 100000;
  for (const { name } of w.shape.teams)
    for (let i = 0; i < 24; i++)
      s.at(s.between(0, 60000), () => {
        const next = job(w, {
          team: name,
          taskCount: 1 + Math.floor(s.random() * 6),
          cpus: s.pick([1, 2, 4]),
        });
        w.submit(next);
        if (s.chance(0.2)) s.after(s.between(200, 40000), () => cancelWhenAccepted(w, next.id));
      });
  s.at(8000, () => {
    w.lostAnswers = s.pick([0, 0.3, 0.5]);
    w.lateWrites = w.lostAnswers > 0 ? s.pick([0, 0.2]) : 0.4;
    // The jobs of one write are read again at different times.
    w.slowReadsMs = s.pick([0, 50, 300]);
  });
  if (seed % 2 === 0) s.at(s.between(20000, 50000), () => trouble(w, busy));
  s.at(busy, () => {
    w.lostAnswers = 0;
    w.lateWrites = 0;
    w.slowReadsMs = 0;
  });
  w.quietFrom = busy + 5000;
  s.run(busy + 200000);
  return w;
}

/** One seeded day: jobs, cancellations and troubles, then a quiet end in which all accepted work must finish. */
export function playDay(seed: number, troubles: number, kind: Shape = SHAPE): World {
  const w = new World(seed, kind);
  const s = w.sim;
  const busy = 120000;
  for (let i = 0; i < 14; i++) {
    const at = s.chance(0.4) ? s.between(0, 3000) : s.between(0, busy);
    s.at(at, () => {
      const j = randomJob(w);
      if (s.chance(0.06) && j.kind === 'array') w.doomed.add(j.id);
      w.submit(j);
      if (s.chance(0.25) || j.kind === 'service' || w.doomed.has(j.id))
        s.after(s.between(200, 60000), () => cancelWhenAccepted(w, j.id));
    });
  }
  for (let i = 0; i < troubles; i++) s.at(s.between(3000, busy), () => trouble(w, busy + 5000));
  w.quietFrom = busy + 5000;
  s.at(1000, () => w.pollUnknown());
  w.sim.run(busy + 200000);
  return w;
}

function cancelWhenAccepted(w: World, id: string): void {
  if (w.jobs.get(id)?.accepted) w.abort(id);
  else w.sim.after(1000, () => cancelWhenAccepted(w, id));
}
