/** What a shard owner asks the leader for. */

import type { JobSpec } from '../model/job.js';
import type { ResourceRequest } from '../model/placement.js';
import type { OwnedJob } from './owned-job.js';
import type { QueueKey, ReleaseQueue } from './release-queue.js';
import { TeamBudget } from './team-budget.js';
import type { TeamUsage } from './team-usage.js';

/** Tasks left of a job up to which they are listed one by one. */
const MAX_REMAINING_TASKS_LISTED = 16;
/** Failures of a job in a row from which it is tried with one task at a time. */
const FAILURES_TO_THROTTLE = 3;

/** What the requests follow from. */
export interface RequestListInput {
  jobs: Iterable<OwnedJob>;
  /** Teams whose jobs have been read. */
  teams: Iterable<string>;
  releaseQueue: ReleaseQueue;
  usage: TeamUsage;
  /** Most tasks of one job asked for at a time: the pace of a large fan-out. */
  maxTasksPerRequest: number;
  /** Steady milliseconds, and the time of day in milliseconds. */
  nowMs: number;
  wallMs: number;
  /** The newest grant taken in from the present leader. */
  lastProcessedGrantId: number;
}

/** What the jobs of an owner would start now if they had room, in the order of release and within the teams' quotas. */
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
  for (const { job, key } of releaseQueue.sort(queued, input.wallMs, (team) => usage.load(team))) {
    const budget = budgets.get(job.spec.team);
    if (!budget || job.owned.backoffUntil > nowMs) continue;
    const tasks = tasksToRequest(job.owned, budget.tasksThatFit(job.spec), input.maxTasksPerRequest);
    if (tasks > 0) {
      budget.take(job.spec, tasks);
      requests.push(makeRequest(job.owned, { key, taskCount: tasks }, input));
    } else budget.reserve(job, input.wallMs);
  }
  return requests;
}

function tasksToRequest(job: OwnedJob, fitting: number, maxTasks: number): number {
  const { spec } = job;
  const openTasks = spec.taskCount - job.counter.count - job.placements.size;
  if (spec.kind === 'gang') return job.placements.size > 0 || fitting < spec.taskCount ? 0 : openTasks;
  const paced = Math.min(openTasks, fitting, maxTasks);
  return job.failures >= FAILURES_TO_THROTTLE ? Math.min(paced, Math.max(0, 1 - job.placements.size)) : paced;
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
    avoidedMachines: machinesToAvoid(job, input.nowMs),
    ...remainingTasks(job),
    preferredMachine: job.preferredMachine,
    maxWaitSeconds: null,
    ...objectiveSlack(spec, input),
    lastProcessedGrantId: input.lastProcessedGrantId,
  };
}

function zoneConstraints(
  job: OwnedJob,
): Pick<ResourceRequest, 'zone' | 'zoneAllowance' | 'defaultZoneAllowance'> {
  const { spec } = job;
  const defaultZoneAllowance = Math.ceil(spec.taskCount / 2);
  let zone = spec.zone;
  // One task alone is spread anywhere, and must not count among those that need a second zone.
  const zoneAllowance: Record<string, number> | null =
    spec.zoneAntiAffinity && spec.taskCount > 1 ? {} : null;
  for (const placement of job.placements.values()) {
    if (spec.zoneAffinity) zone = placement.zone;
    if (zoneAllowance)
      zoneAllowance[placement.zone] = (zoneAllowance[placement.zone] ?? defaultZoneAllowance) - 1;
  }
  return { zone, zoneAllowance, defaultZoneAllowance };
}

/** See `ResourceRequest.remainingTasks`: a task that never had an attempt is listed nowhere. */
function remainingTasks(job: OwnedJob): Pick<ResourceRequest, 'remainingTasks'> {
  const { spec, counter, placements, latestAttempts: attempts, fanOut } = job;
  const openTasks = spec.taskCount - counter.count - placements.size;
  if (spec.kind === 'gang' || openTasks > MAX_REMAINING_TASKS_LISTED || attempts.size === 0) return {};
  const remaining = fanOut.listAvailable((task) => counter.has(task) || placements.has(task));
  return remaining.some((task) => attempts.has(task)) ? { remainingTasks: remaining } : {};
}

function machinesToAvoid(job: OwnedJob, nowMs: number): string[] {
  const machines: string[] = [];
  for (const [machine, until] of job.avoidedMachines) {
    if (until > nowMs) machines.push(machine);
    else job.avoidedMachines.delete(machine);
  }
  return machines;
}

/** Its objective or deadline, and what is left until then. */
function objectiveSlack(
  spec: JobSpec,
  input: RequestListInput,
): Pick<ResourceRequest, 'objectiveSeconds' | 'slackSeconds'> {
  const objectiveSeconds =
    spec.deadlineSeconds ??
    (spec.kind === 'service' ? undefined : input.releaseQueue.firstObjectiveSeconds(spec));
  if (objectiveSeconds === undefined) return { objectiveSeconds: null, slackSeconds: null };
  const slackSeconds = objectiveSeconds - (input.wallMs - spec.acceptedAtMs) / 1000;
  return slackSeconds > 0
    ? { objectiveSeconds, slackSeconds }
    : { objectiveSeconds: null, slackSeconds: null };
}
