/** The workers' protocol: heartbeats, their answers and direct commands. */

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
 * A worker's heartbeat, or null if it is malformed. A list of tasks that can't be read whole proves nothing: a task that is
 * missing from it would be taken for gone.
 */
export function decodeHeartbeat(encoded: unknown): Heartbeat | null {
  if (!isJsonObject(encoded)) return null;
  const machine = asNonEmptyString(encoded.trunk);
  const address = asNonEmptyString(encoded.address);
  const machineType = asNonEmptyString(encoded.bark);
  const zone = asNonEmptyString(encoded.slope);
  if (machine === null || address === null || machineType === null || zone === null) return null;
  const agentEpoch = asCount(encoded.season);
  const sequence = asCount(encoded.tally);
  const fencingToken = asCount(encoded.crook ?? 0);
  if (agentEpoch === null || sequence === null || fencingToken === null) return null;
  const tasks = decodeTasks(encoded.saplings);
  if (tasks === null) return null;
  return {
    machine,
    address,
    machineType,
    zone,
    isSpot: encoded.windfall === true,
    agentEpoch,
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
    exitReason: phase === 'exited' ? (lookUp(EXIT_REASONS, encoded.blight) ?? 'error') : null,
    checkpointSaved: encoded.stored === true,
  };
}

/** The answer to a heartbeat: commands, which the worker executes in order if the token is no lower than any it has seen. */
export function encodeHeartbeatAnswer(
  fencingToken: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { crook: fencingToken, calls: commands.map(encodeCommand) };
}

/** The body of commands sent to a worker's address. */
export function encodeDirectCommands({
  fencingToken,
  agentEpoch,
  commands,
}: CommandBatch): Record<string, unknown> {
  return { crook: fencingToken, season: agentEpoch, calls: commands.map(encodeCommand) };
}

/** The answer to a worker that must turn to the leader; null: it isn't known here who leads. */
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
