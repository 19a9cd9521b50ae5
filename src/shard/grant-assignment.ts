/** Which task of a job goes to which granted place. */

import type { Grant } from '../model/placement.js';
import { assignTasks } from '../model/task-assignment.js';
import { allowsZone, type OwnedJob } from './owned-job.js';
import { type TeamUsage, tasksWithin } from './team-usage.js';

/** So long a machine gets none of a job's tasks after it has refused one, or would have. */
export const AVOID_AFTER_REFUSAL_MS = 2000;

/** What the assignment goes by, and what it does. */
export interface GrantAssignmentOptions {
  usage: TeamUsage;
  /** Steady milliseconds. */
  nowMs: number;
  /** Places a task of the job on what is granted; its use counts from then on. */
  place(grant: Grant, taskIndex: number): void;
}

/**
 * Gives tasks of a job to the places that the leader has granted it, within the quota of its team and the zones that the job
 * allows. Returns the grants taken; the others go back to the leader.
 */
export function assignGrants(job: OwnedJob, grants: Grant[], options: GrantAssignmentOptions): Grant[] {
  if (job.spec.kind === 'gang') return placeGang(job, grants, options);
  const { usage, nowMs } = options;
  return grants.filter((grant) => {
    if (!usage.admits(job.spec) || !allowsZone(job, grant.zone)) return false;
    const taskIndex = nextTask(job, grant, nowMs);
    if (taskIndex < 0) return false;
    options.place(grant, taskIndex);
    return true;
  });
}

/** Takes all of these places for a gang, or none. */
function placeGang(job: OwnedJob, grants: Grant[], options: GrantAssignmentOptions): Grant[] {
  if (!admitsGang(job, grants, options.usage)) return [];
  const { tasks } = assignTasks(
    Array.from({ length: job.spec.taskCount }, (_, taskIndex) => taskIndex),
    grants.map((grant) => grant.endedTasks && new Set(grant.endedTasks)),
  );
  // A machine that lists an ended attempt of its task would refuse it, and all others would be stopped.
  if (tasks.includes(undefined)) return [];
  for (const [index, grant] of grants.entries()) {
    const task = tasks[index];
    if (task !== undefined) options.place(grant, task);
  }
  return grants;
}

/**
 * Places for a gang are taken all or none: one with a part of its tasks placed would hold them until it gives up
 * waiting for the others.
 */
function admitsGang(job: OwnedJob, grants: Grant[], usage: TeamUsage): boolean {
  const { spec } = job;
  if (grants.length !== spec.taskCount || job.placements.size > 0) return false;
  const left = usage.remaining(spec.team);
  if (left === null || tasksWithin(left, spec) < spec.taskCount) return false;
  const byZone = new Map<string, number>();
  for (const { zone } of grants) byZone.set(zone, (byZone.get(zone) ?? 0) + 1);
  if (spec.zone !== null && [...byZone.keys()].some((zone) => zone !== spec.zone)) return false;
  if (spec.zoneAntiAffinity && Math.max(...byZone.values()) > Math.ceil(spec.taskCount / 2)) return false;
  return !spec.zoneAffinity || byZone.size === 1;
}

/** The next task to be placed, other than those of which the machine lists an ended attempt; -1: none. */
function nextTask(job: OwnedJob, { machine, endedTasks }: Grant, nowMs: number): number {
  const isCounted = (task: number) => job.counter.has(task);
  const isTaken = (task: number) => isCounted(task) || job.placements.has(task);
  const refused: number[] = [];
  let taskIndex = job.fanOut.takeNext(isTaken, isCounted);
  while (taskIndex >= 0 && endedTasks?.includes(taskIndex)) {
    refused.push(taskIndex);
    taskIndex = job.fanOut.takeNext(isTaken, isCounted);
  }
  for (const task of refused) job.fanOut.putBack(task);
  if (taskIndex < 0 && refused.length > 0) job.avoidedMachines.set(machine, nowMs + AVOID_AFTER_REFUSAL_MS);
  return taskIndex;
}
