import type { ExitReason, TaskPhase } from '../model/job.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../model/worker-messages.js';
import { count, isObj, num, str } from './json.js';

const PHASES: Record<string, TaskPhase> = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'exited',
};
const WHYS: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  mates_gone: 'gangMemberLost',
  incomplete: 'gangIncomplete',
  error: 'error',
  full: 'noCapacity',
  busy: 'attemptListed',
  unknown: 'unknown',
};

const CALLS: Readonly<Record<WorkerCommand['type'], string>> = {
  start: 'start',
  stop: 'stop',
  forget: 'reap',
};

function readTask(v: unknown): TaskStatus | null {
  if (!isObj(v)) return null;
  const name = str(v.sapling);
  const attempt = count(v.sprout);
  const phase = typeof v.phase === 'string' && Object.hasOwn(PHASES, v.phase) ? PHASES[v.phase] : undefined;
  if (name === null || attempt === null || phase === undefined) return null;
  const cut = name.lastIndexOf('/');
  const taskIndex = Number(name.slice(cut + 1));
  if (cut < 1 || !Number.isInteger(taskIndex) || taskIndex < 0) return null;
  let reason: ExitReason | null = null;
  if (phase === 'exited')
    reason = (typeof v.blight === 'string' && Object.hasOwn(WHYS, v.blight) && WHYS[v.blight]) || 'error';
  return {
    jobId: name.slice(0, cut),
    taskIndex,
    attempt,
    phase,
    exitReason: reason,
    checkpointSaved: v.stored === true,
  };
}

/** A worker's report, or null if it is malformed: a list that can't be read whole proves nothing. */
export function readReport(v: unknown): Heartbeat | null {
  if (!isObj(v)) return null;
  const machine = str(v.trunk);
  const addr = str(v.address);
  const type = str(v.bark);
  const zone = str(v.slope);
  const agentEpoch = count(v.season);
  const sequence = count(v.tally);
  const token = v.crook === null || v.crook === undefined ? 0 : count(v.crook);
  if (machine === null || addr === null || type === null || zone === null) return null;
  if (agentEpoch === null || sequence === null || token === null || !Array.isArray(v.saplings)) return null;
  const tasks: TaskStatus[] = [];
  for (const t of v.saplings) {
    const r = readTask(t);
    if (!r) return null;
    tasks.push(r);
  }
  return {
    machine,
    address: addr,
    machineType: type,
    zone,
    isSpot: v.windfall === true,
    agentEpoch,
    sequence,
    fencingToken: token,
    evictionNoticeSeconds: num(v.felling_s),
    tasks,
  };
}

function writeCommand(command: WorkerCommand): Record<string, unknown> {
  const base = {
    call: CALLS[command.type],
    sapling: `${command.jobId}/${command.taskIndex}`,
    sprout: command.attempt,
  };
  return command.type === 'stop' ? { ...base, pruning_s: command.gracePeriodSeconds } : base;
}

export function writeAnswer(token: number, commands: WorkerCommand[]): Record<string, unknown> {
  return { crook: token, calls: commands.map(writeCommand) };
}

export function writeDirect(
  token: number,
  agentEpoch: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { crook: token, season: agentEpoch, calls: commands.map(writeCommand) };
}

/** To a worker that asked another controller than the leader: where to go, if that is known. */
export function writeRedirect(leader: string | null): Record<string, string> {
  return leader === null ? {} : { keeper: leader };
}
