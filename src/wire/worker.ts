import type { ExitWhy, TaskPhase, TaskReport, WorkerCommand, WorkerReport } from '../core/types.js';
import { count, isObj, num, str } from './json.js';

const PHASES: Record<string, TaskPhase> = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'exited',
};
const WHYS: Record<string, ExitWhy> = {
  done: 'done',
  stopped: 'stopped',
  mates_gone: 'peers',
  incomplete: 'alone',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  unknown: 'unknown',
};

function readTask(v: unknown): TaskReport | null {
  if (!isObj(v)) return null;
  const name = str(v.sapling);
  const attempt = count(v.sprout);
  const phase = typeof v.phase === 'string' && Object.hasOwn(PHASES, v.phase) ? PHASES[v.phase] : undefined;
  if (name === null || attempt === null || phase === undefined) return null;
  const cut = name.lastIndexOf('/');
  const idx = Number(name.slice(cut + 1));
  if (cut < 1 || !Number.isInteger(idx) || idx < 0) return null;
  let why: ExitWhy | null = null;
  if (phase === 'exited')
    why = (typeof v.blight === 'string' && Object.hasOwn(WHYS, v.blight) && WHYS[v.blight]) || 'error';
  return { job: name.slice(0, cut), idx, attempt, phase, why, saved: v.stored === true };
}

/** A worker's report, or null if it is malformed: a list that can't be read whole proves nothing. */
export function readReport(v: unknown): WorkerReport | null {
  if (!isObj(v)) return null;
  const machine = str(v.trunk);
  const addr = str(v.address);
  const type = str(v.bark);
  const zone = str(v.slope);
  const season = count(v.season);
  const tally = count(v.tally);
  const token = v.crook === null || v.crook === undefined ? 0 : count(v.crook);
  if (machine === null || addr === null || type === null || zone === null) return null;
  if (season === null || tally === null || token === null || !Array.isArray(v.saplings)) return null;
  const tasks: TaskReport[] = [];
  for (const t of v.saplings) {
    const r = readTask(t);
    if (!r) return null;
    tasks.push(r);
  }
  return {
    machine,
    addr,
    type,
    zone,
    spot: v.windfall === true,
    season,
    tally,
    token,
    noticeS: num(v.felling_s),
    tasks,
  };
}

function writeCommand(c: WorkerCommand): Record<string, unknown> {
  const base = { call: c.op, sapling: `${c.job}/${c.idx}`, sprout: c.attempt };
  return c.op === 'stop' ? { ...base, pruning_s: c.graceS } : base;
}

export function writeAnswer(token: number, cmds: WorkerCommand[]): Record<string, unknown> {
  return { crook: token, calls: cmds.map(writeCommand) };
}

export function writeDirect(token: number, season: number, cmds: WorkerCommand[]): Record<string, unknown> {
  return { crook: token, season, calls: cmds.map(writeCommand) };
}

/** To a worker that asked another controller than the leader: where to go, if that is known. */
export function writeRedirect(leader: string | null): Record<string, string> {
  return leader === null ? {} : { keeper: leader };
}
