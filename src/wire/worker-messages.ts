/**
 * The protocol for workers: heartbeats, responses to them and direct commands. In the protocol's terms, a
 * `trunk` is a machine, a `bark` a machine type, a `slope` a zone, a `sapling` a task and a `sprout` an
 * attempt; `season` is the worker epoch, `tally` the sequence number, `crook` the fencing token, `felling_s`
 * the eviction notice, `blight` the exit reason, `pruning_s` the grace period, `keeper` the leader, and
 * `windfall` means spot.
 */

import type { ExitReason, TaskPhase } from '../model/job.js';
import type { CommandBatch } from '../model/worker-command-port.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../model/worker-messages.js';
import { asCount, asFiniteNumber, asNonEmptyString, isJsonObject, lookUp } from './json.js';

const TASK_PHASES: Readonly<Record<string, TaskPhase>> = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'exited',
};

const EXIT_REASONS: Readonly<Record<string, ExitReason>> = {
  done: 'done',
  stopped: 'stopped',
  mates_gone: 'gangMemberLost',
  incomplete: 'gangIncomplete',
  error: 'error',
  full: 'noCapacity',
  busy: 'attemptListed',
  unknown: 'unknown',
};

const COMMAND_NAMES: Readonly<Record<WorkerCommand['type'], string>> = {
  start: 'start',
  stop: 'stop',
  forget: 'reap',
};

/**
 * Decodes a worker's heartbeat, or returns null if it is malformed. A task list with a malformed entry
 * invalidates the whole heartbeat, because a task missing from the list would be taken for gone. A worker
 * that has seen no fencing token may leave it out.
 */
export function decodeHeartbeat(encoded: unknown): Heartbeat | null {
  if (!isJsonObject(encoded)) return null;
  const machine = asNonEmptyString(encoded.trunk);
  const address = asNonEmptyString(encoded.address);
  const machineType = asNonEmptyString(encoded.bark);
  const zone = asNonEmptyString(encoded.slope);
  if (machine === null || address === null || machineType === null || zone === null) return null;
  const workerEpoch = asCount(encoded.season);
  const sequence = asCount(encoded.tally);
  const fencingToken = asCount(encoded.crook ?? 0);
  if (workerEpoch === null || sequence === null || fencingToken === null) return null;
  const tasks = decodeTasks(encoded.saplings);
  if (tasks === null) return null;
  return {
    machine,
    address,
    machineType,
    zone,
    isSpot: encoded.windfall === true,
    workerEpoch,
    sequence,
    fencingToken,
    evictionNoticeSeconds: asFiniteNumber(encoded.felling_s),
    tasks,
  };
}

function decodeTasks(encoded: unknown): TaskStatus[] | null {
  if (!Array.isArray(encoded)) return null;
  const tasks: TaskStatus[] = [];
  for (const value of encoded) {
    const task = decodeTask(value);
    if (!task) return null;
    tasks.push(task);
  }
  return tasks;
}

function decodeTask(encoded: unknown): TaskStatus | null {
  if (!isJsonObject(encoded)) return null;
  const name = asNonEmptyString(encoded.sapling);
  const attempt = asCount(encoded.sprout);
  const phase = lookUp(TASK_PHASES, encoded.phase);
  if (name === null || attempt === null || phase === undefined) return null;
  const slash = name.lastIndexOf('/');
  const taskIndex = Number(name.slice(slash + 1));
  if (slash < 1 || !Number.isInteger(taskIndex) || taskIndex < 0) return null;
  return {
    jobId: name.slice(0, slash),
    taskIndex,
    attempt,
    phase,
    // An unknown exit reason counts as an error.
    exitReason: phase === 'exited' ? (lookUp(EXIT_REASONS, encoded.blight) ?? 'error') : null,
    checkpointSaved: encoded.stored === true,
  };
}

/**
 * Encodes the response to a heartbeat: commands, which the worker executes in order unless it has seen a
 * higher fencing token.
 */
export function encodeHeartbeatResponse(
  fencingToken: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { crook: fencingToken, calls: commands.map(encodeCommand) };
}

/** Encodes the body of commands sent directly to a worker. */
export function encodeDirectCommands({
  fencingToken,
  workerEpoch,
  commands,
}: CommandBatch): Record<string, unknown> {
  return { crook: fencingToken, season: workerEpoch, calls: commands.map(encodeCommand) };
}

/** Encodes the response that redirects a worker to the leader; null: the leader is not known here. */
export function encodeRedirect(leaderName: string | null): Record<string, string> {
  return leaderName === null ? {} : { keeper: leaderName };
}

function encodeCommand(command: WorkerCommand): Record<string, unknown> {
  const call = COMMAND_NAMES[command.type];
  const sapling = `${command.jobId}/${command.taskIndex}`;
  const sprout = command.attempt;
  return command.type === 'stop'
    ? { call, sapling, sprout, pruning_s: command.gracePeriodSeconds }
    : { call, sapling, sprout };
}
