import { type EndedTasks, NO_ENDED_TASKS } from './ended-attempts.js';
import type { Held, TaskReport, WorkerReport } from './types.js';
import { taskKey } from './types.js';

/** A placement as the scheduler holds it: room taken on a machine, and what its worker should do. */
export interface Entry extends Omit<Held, 'want'> {
  key: string;
  /** `hold`: granted, not yet told to be stored. */
  want: Held['want'] | 'hold';
  /** Tally of the report whose answer carries its start, until a later report comes. */
  sentWith: number;
  /** A direct command with its start is under way. */
  direct: boolean;
  listed: TaskReport | null;
  /** Its worker has listed it as ended: it is never started again, whatever the worker lists later. */
  ended: boolean;
  settled: boolean;
  told: string;
  since: number;
  /** Since when it runs is known: this scheduler saw it before it ran, or sent its start. */
  timed: boolean;
  /** When a stop was asked of its owner; 0: not. */
  evicting: number;
}

export interface Machine {
  name: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  season: number;
  tally: number;
  /** Tally of the newest report that came as a report, and not as the answer to a direct command. */
  reportTally: number;
  token: number;
  /** Any sign of life; reports alone; first seen to be up. */
  heardAt: number;
  reportAt: number;
  upAt: number;
  /** The last report was answered, with a renewal of its lease. */
  answered: boolean;
  /** Last asked a sibling, which sent it here. */
  strayAt: number;
  up: boolean;
  /** Has shown this scheduler's token: what it was heard to say is no late copy from before. */
  confirmed: boolean;
  /** Signs in a row that what is told to this machine does not reach it, although it is heard; since when. */
  deaf: number;
  deafSince: number;
  rentedAt: number;
  /** The list calls it running, whether or not its worker was heard. */
  listedUp: boolean;
  leaveAt: number | null;
  entries: Map<string, Entry>;
  tasks: Map<string, TaskReport>;
  directBusy: boolean;
  probeAt: number;
  probeFails: number;
  /** Starts sent directly without an answer, with the token they were sent under: they may still arrive. */
  doubt: Map<string, number>;
  doubtSince: number;
  /** Attempts that this scheduler started directly: a late repeat of the command would start them once more. */
  direct: Set<string>;
  images: Map<string, number>;
  removing: boolean;
  retired: boolean;
  /** Being emptied, to be returned. */
  leaving: boolean;
  idleSince: number;
  errors: Map<string, number>;
  /** By job: of which tasks it lists an ended attempt. */
  endedTasks: ReadonlyMap<string, EndedTasks>;
  strangers: Map<string, number>;
  /** Room being freed here by stops is for this job. */
  reserved: { job: string; rank: number; until: number } | null;
  runs: number;
  slow: number;
  /** What its entries come to, kept by the scheduler's `refresh`. */
  sum: Sum;
}

export interface Amount {
  cpus: number;
  gpus: number;
  mem: number;
}

export interface Sum {
  /** Its type was known: `free` means something. */
  known: boolean;
  free: Amount;
  /** Taken by arrays and gangs, which may be stopped for services. */
  batch: Amount;
  /** Taken by tasks that are being stopped. */
  stopping: Amount;
  teams: { team: string; cpus: number; gpus: number }[];
  services: number;
  serviceCpus: number;
  batchTasks: number;
  /** Entries whose outcome is not stored yet: a machine without any is empty, whatever it still lists as ended. */
  busy: number;
  /** Something may have to be sent at once: a start or a stop. */
  todo: boolean;
  /** Running entries by rank. */
  ranks: [number, number, number, number];
}

export function emptySum(): Sum {
  const none = () => ({ cpus: 0, gpus: 0, mem: 0 });
  return {
    known: false,
    free: none(),
    batch: none(),
    stopping: none(),
    teams: [],
    services: 0,
    serviceCpus: 0,
    batchTasks: 0,
    busy: 0,
    todo: false,
    ranks: [0, 0, 0, 0],
  };
}

function add(a: Amount, e: Amount, sign = 1): void {
  a.cpus += sign * e.cpus;
  a.gpus += sign * e.gpus;
  a.mem += sign * e.mem;
}

export function sumUp(m: Machine, t: Amount | undefined): Sum {
  const s = emptySum();
  if (t) {
    s.known = true;
    s.free = { cpus: t.cpus, gpus: t.gpus, mem: t.mem };
  }
  for (const e of m.entries.values()) {
    if (e.want !== 'reap') s.busy++;
    if (e.want === 'stop' || (e.want === 'run' && !e.listed)) s.todo = true;
    if (!takesRoom(e)) continue;
    add(s.free, e, -1);
    if (e.want === 'stop' || e.evicting) add(s.stopping, e);
    const u = s.teams.find((x) => x.team === e.team);
    if (u) {
      u.cpus += e.cpus;
      u.gpus += e.gpus;
    } else s.teams.push({ team: e.team, cpus: e.cpus, gpus: e.gpus });
    if (e.service) {
      s.services++;
      s.serviceCpus += e.cpus;
    } else {
      s.batchTasks++;
      if (e.rank > 0) add(s.batch, e);
    }
    if (e.want === 'run') s.ranks[e.rank]++;
  }
  return s;
}

export function newMachine(name: string, now: number): Machine {
  return {
    name,
    addr: '',
    type: '',
    zone: '',
    spot: false,
    season: 0,
    tally: -1,
    reportTally: -1,
    token: 0,
    heardAt: now,
    reportAt: Number.NEGATIVE_INFINITY,
    upAt: Number.NEGATIVE_INFINITY,
    answered: false,
    strayAt: Number.NEGATIVE_INFINITY,
    up: false,
    confirmed: false,
    deaf: 0,
    deafSince: 0,
    rentedAt: now,
    listedUp: false,
    leaveAt: null,
    entries: new Map(),
    tasks: new Map(),
    directBusy: false,
    probeAt: 0,
    probeFails: 0,
    doubt: new Map(),
    doubtSince: 0,
    direct: new Set(),
    images: new Map(),
    removing: false,
    retired: false,
    leaving: false,
    idleSince: now,
    errors: new Map(),
    endedTasks: NO_ENDED_TASKS,
    strangers: new Map(),
    reserved: null,
    runs: 0,
    slow: 0,
    sum: emptySum(),
  };
}

/** Room promised or asked for, without a stored placement: its worker has never been told of it. */
export function isUnstored(e: Entry): boolean {
  return e.want === 'hold' || e.want === 'pending';
}

export function newEntry(h: Held, now: number): Entry {
  return {
    ...h,
    key: taskKey(h.job, h.idx, h.attempt),
    sentWith: -1,
    direct: false,
    listed: null,
    ended: false,
    settled: false,
    told: '',
    since: now,
    timed: false,
    evicting: 0,
  };
}

/** Since when it may have gone without a renewal of its lease: direct commands renew none. */
export function provenAt(m: Machine): number {
  return Math.max(m.reportAt, m.upAt);
}

/** Newer than all that was seen from this machine? */
export function isNewer(m: Machine, r: WorkerReport): boolean {
  return r.season > m.season || (r.season === m.season && r.tally > m.tally);
}

/** Takes part in the room of its machine: until its worker says that it ended, or it is settled. */
export function takesRoom(e: Entry): boolean {
  return !e.settled && e.listed?.phase !== 'exited' && e.want !== 'reap' && e.want !== 'keep';
}
