/** Builds the resource requests that a shard owner sends to the leader. */

import type { JobSpec } from '../model/job.js';
import type { ResourceRequest } from '../model/placement.js';
import type { OwnedJob } from './owned-job.js';
import type { QueueKey, ReleaseQueue } from './release-queue.js';
import { TeamBudget } from './team-budget.js';
import type { TeamUsage } from './team-usage.js';

/** The remaining tasks of a job are listed individually if there are no more than this. */
const MAX_REMAINING_TASKS_LISTED = 16;
/**
 * From this number of failures since a task last finished, a job that is not a gang gets one task at a time.
 */
const THROTTLE_AFTER_FAILURES = 3;

/** The jobs, teams and limits that requests are built from. */
export interface RequestListInput {
  jobs: Iterable<OwnedJob>;
  /** Teams whose shards are loaded. */
  teams: Iterable<string>;
  releaseQueue: ReleaseQueue;
  usage: TeamUsage;
  /**
   * Maximum number of tasks in one request, except those of gangs. It limits how fast a large job is
   * released.
   */
  maxTasksPerRequest: number;
  /** Monotonic time in ms. */
  nowMs: number;
  /** Wall-clock time in ms. */
  wallMs: number;
  /** The newest grant of the current leader that has been processed. */
  lastProcessedGrantId: number;
}

/**
 * Requests what the jobs of an owner would start now if there were capacity, in release order and within the
 * quotas of their teams. Jobs that are cancelled, being reloaded, finished or in backoff request nothing.
 */
export function listRequests(input: RequestListInput): ResourceRequest[] {
  const { releaseQueue, usage, nowMs } = input;
  const queued = [...input.jobs]
    .filter((job) => !job.cancelled && !job.isReloading && !job.counter.isComplete)
    .map((job) => ({
      owned: job,
      spec: job.spec,
      acceptedRevision: job.acceptedRevision,
      finishedTasks: job.counter.count,
      placedTasks: job.placements.size,
      failures: job.failures,
    }));
  const budgets = new Map<string, TeamBudget>();
  for (const team of input.teams) {
    const jobs = queued.filter(({ spec }) => spec.team === team);
    const budget = TeamBudget.forTeam(team, usage, jobs);
    if (budget) budgets.set(team, budget);
  }
  const requests: ResourceRequest[] = [];
  for (const { job, key } of releaseQueue.sort(queued, input.wallMs, (team) => usage.loadOf(team))) {
    const budget = budgets.get(job.spec.team);
    if (!budget || job.owned.backoffUntil > nowMs) continue;
    const tasks = tasksToRequest(job.owned, budget.tasksThatFit(job.spec), input.maxTasksPerRequest);
    if (tasks > 0) {
      budget.consume(job.spec, tasks);
      requests.push(makeRequest(job.owned, { key, taskCount: tasks }, input));
    } else budget.reserveForGang(job, input.wallMs);
  }
  return requests;
}

/**
 * How many tasks to request for a job; 0: none. A gang requests all of its tasks, or none while some are
 * still placed or the quota does not admit all.
 */
function tasksToRequest(job: OwnedJob, fittingTasks: number, maxTasks: number): number {
  const { spec } = job;
  const unplacedTasks = spec.taskCount - job.counter.count - job.placements.size;
  if (spec.kind === 'gang')
    return job.placements.size > 0 || fittingTasks < spec.taskCount ? 0 : unplacedTasks;
  const requestableTasks = Math.min(unplacedTasks, fittingTasks, maxTasks);
  return job.failures >= THROTTLE_AFTER_FAILURES
    ? Math.min(requestableTasks, Math.max(0, 1 - job.placements.size))
    : requestableTasks;
}

function makeRequest(
  job: OwnedJob,
  { key, taskCount }: { key: QueueKey; taskCount: number },
  input: RequestListInput,
): ResourceRequest {
  const { spec } = job;
  return {
    jobId: spec.id,
    team: spec.team,
    jobClass: spec.jobClass,
    priority: spec.priority,
    queuePosition: key.position,
    missedObjectives: key.missedObjectives,
    taskCount,
    isGang: spec.kind === 'gang',
    isService: spec.kind === 'service',
    cpus: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    image: spec.image,
    imageGb: spec.imageGb,
    estimatedRunSeconds: spec.estimatedRunSeconds,
    machineTypes: spec.machineTypes,
    spotAllowed: spec.spotAllowed,
    ...zoneConstraints(job),
    zoneAffinity: spec.zoneAffinity,
    avoidedMachines: listAvoidedMachines(job, input.nowMs),
    ...remainingTasks(job),
    preferredMachine: job.preferredMachine,
    maxWaitSeconds: null,
    ...objectiveSlack(spec, input),
    lastProcessedGrantId: input.lastProcessedGrantId,
  };
}

/** The zones that the job's next tasks may use, and how many tasks in each, given its present placements. */
function zoneConstraints(
  job: OwnedJob,
): Pick<ResourceRequest, 'zone' | 'zoneAllowance' | 'defaultZoneAllowance'> {
  const { spec } = job;
  const defaultZoneAllowance = Math.ceil(spec.taskCount / 2);
  let zone = spec.zone;
  // A single task meets the spreading rule in any zone, and must not count as a job that needs a second zone.
  const zoneAllowance: Record<string, number> | null =
    spec.zoneAntiAffinity && spec.taskCount > 1 ? {} : null;
  for (const placement of job.placements.values()) {
    if (spec.zoneAffinity) zone = placement.zone;
    if (zoneAllowance)
      zoneAllowance[placement.zone] = (zoneAllowance[placement.zone] ?? defaultZoneAllowance) - 1;
  }
  return { zone, zoneAllowance, defaultZoneAllowance };
}

/**
 * Lists the remaining tasks if there are few and one of them has had an attempt: no machine can list an ended
 * attempt of a task that never had one. See `ResourceRequest.remainingTasks`.
 */
function remainingTasks(job: OwnedJob): Pick<ResourceRequest, 'remainingTasks'> {
  const { spec, counter, placements, latestAttempts: attempts, fanOut } = job;
  const unplacedTasks = spec.taskCount - counter.count - placements.size;
  if (spec.kind === 'gang' || unplacedTasks > MAX_REMAINING_TASKS_LISTED || attempts.size === 0) return {};
  const remaining = fanOut.listAvailable((task) => counter.has(task) || placements.has(task));
  return remaining.some((task) => attempts.has(task)) ? { remainingTasks: remaining } : {};
}

/** The machines that the job avoids now; deletes expired entries. */
function listAvoidedMachines(job: OwnedJob, nowMs: number): string[] {
  const machines: string[] = [];
  for (const [machine, until] of job.avoidedMachines) {
    if (until > nowMs) machines.push(machine);
    else job.avoidedMachines.delete(machine);
  }
  return machines;
}

/**
 * The job's deadline, or else its shortest completion objective, and the time left until then; both null if
 * there is none or the time has passed.
 */
function objectiveSlack(
  spec: JobSpec,
  input: RequestListInput,
): Pick<ResourceRequest, 'objectiveSeconds' | 'slackSeconds'> {
  const objectiveSeconds =
    spec.deadlineSeconds ??
    (spec.kind === 'service' ? undefined : input.releaseQueue.shortestObjectiveSeconds(spec));
  if (objectiveSeconds === undefined) return { objectiveSeconds: null, slackSeconds: null };
  const slackSeconds = objectiveSeconds - (input.wallMs - spec.acceptedAtMs) / 1000;
  return slackSeconds > 0
    ? { objectiveSeconds, slackSeconds }
    : { objectiveSeconds: null, slackSeconds: null };
}
