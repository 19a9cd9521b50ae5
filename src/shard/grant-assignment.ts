/** Assigns tasks of a job to the grants that its owner has received. */

import type { Grant } from '../model/placement.js';
import { assignTasks } from '../model/task-assignment.js';
import { allowsZone, type OwnedJob } from './owned-job.js';
import { countFittingTasks, type TeamUsage } from './team-usage.js';

/**
 * How long a job avoids a machine that has refused one of its tasks, or that lists exited attempts of all the
 * tasks that could be placed on it and would therefore refuse them.
 */
export const AVOID_AFTER_REFUSAL_MS = 2000;

/** Inputs of an assignment, and the callback that carries it out. */
export interface GrantAssignmentOptions {
  usage: TeamUsage;
  /** Monotonic time in ms. */
  nowMs: number;
  /** Places a task on the granted machine. The placement must count toward the team's usage at once. */
  place(grant: Grant, taskIndex: number): void;
}

/**
 * Assigns tasks of a job to its grants, within the quota of its team and the zones that the job allows; a
 * gang gets all of its tasks placed or none. Returns the grants that were used; the caller returns the others
 * to the leader.
 */
export function assignGrants(job: OwnedJob, grants: Grant[], options: GrantAssignmentOptions): Grant[] {
  if (job.spec.kind === 'gang') return placeGang(job, grants, options);
  const { usage, nowMs } = options;
  return grants.filter((grant) => {
    if (!usage.admits(job.spec) || !allowsZone(job, grant.zone)) return false;
    const taskIndex = takeNextTask(job, grant, nowMs);
    if (taskIndex < 0) return false;
    options.place(grant, taskIndex);
    return true;
  });
}

/** Places all tasks of a gang, one on each grant, or none of them. Returns the grants that were used. */
function placeGang(job: OwnedJob, grants: Grant[], options: GrantAssignmentOptions): Grant[] {
  if (!canPlaceGang(job, grants, options.usage)) return [];
  const { taskBySlot: tasks } = assignTasks(
    Array.from({ length: job.spec.taskCount }, (_, taskIndex) => taskIndex),
    grants.map((grant) => grant.exitedTasks && new Set(grant.exitedTasks)),
  );
  // A machine that lists an exited attempt of its task would refuse it, which would stop the whole gang.
  if (tasks.includes(undefined)) return [];
  for (const [index, grant] of grants.entries()) {
    const task = tasks[index];
    if (task !== undefined) options.place(grant, task);
  }
  return grants;
}

/**
 * Whether there is exactly one grant for each task of a gang, none of its tasks is placed, and all of them
 * fit into the team's quota and the zones that the gang allows. A gang with only some of its tasks placed
 * would hold their capacity until it gives up waiting for the others.
 */
function canPlaceGang(job: OwnedJob, grants: Grant[], usage: TeamUsage): boolean {
  const { spec } = job;
  if (grants.length !== spec.taskCount || job.placements.size > 0) return false;
  const remaining = usage.remainingOf(spec.team);
  if (remaining === null || countFittingTasks(remaining, spec) < spec.taskCount) return false;
  const grantsByZone = new Map<string, number>();
  for (const { zone } of grants) grantsByZone.set(zone, (grantsByZone.get(zone) ?? 0) + 1);
  if (spec.zone !== null && [...grantsByZone.keys()].some((zone) => zone !== spec.zone)) return false;
  if (spec.zoneAntiAffinity && Math.max(...grantsByZone.values()) > Math.ceil(spec.taskCount / 2))
    return false;
  return !spec.zoneAffinity || grantsByZone.size === 1;
}

/**
 * Takes the next task of a job to place on a grant, or returns -1 if there is none. Tasks of which the
 * machine lists an exited attempt are skipped and put back. If only such tasks are available, the job avoids
 * the machine for a while.
 */
function takeNextTask(job: OwnedJob, { machine, exitedTasks }: Grant, nowMs: number): number {
  const isFinished = (task: number) => job.counter.has(task);
  const isTaken = (task: number) => isFinished(task) || job.placements.has(task);
  const refusedTasks: number[] = [];
  let taskIndex = job.fanOut.takeNext(isTaken, isFinished);
  while (taskIndex >= 0 && exitedTasks?.includes(taskIndex)) {
    refusedTasks.push(taskIndex);
    taskIndex = job.fanOut.takeNext(isTaken, isFinished);
  }
  for (const task of refusedTasks) job.fanOut.putBack(task);
  if (taskIndex < 0 && refusedTasks.length > 0)
    job.avoidedMachines.set(machine, nowMs + AVOID_AFTER_REFUSAL_MS);
  return taskIndex;
}
