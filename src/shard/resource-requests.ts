import type { JobSpec } from '../model/job.js';
import type { ResourceRequest } from '../model/placement.js';
import type { OwnedJob } from './owned-job.js';
import type { QueueKey, ReleaseQueue } from './release-queue.js';
import { TeamBudget } from './team-budget.js';
import type { TeamUsage } from './team-usage.js';

/** Tasks left of a job up to which they are told one by one. */
const MAX_REMAINING_TASKS_LISTED = 16;
/** Failures of a job in a row from which it is tried with one task at a time. */
const FAILURES_TO_THROTTLE = 3;

export interface RequestListInput {
  jobs: Iterable<OwnedJob>;
  /** Teams whose jobs have been read. */
  teams: Iterable<string>;
  releaseQueue: ReleaseQueue;
  usage: TeamUsage;
  /** Most tasks of one job asked for at a time: the pace of a large fan-out. */
  maxTasksPerRequest: number;
  nowMs: number;
  wallMs: number;
  /** The newest grant taken in from the present scheduler. */
  lastGrantTaken: number;
}

/** What the jobs of an owner would start now if they had room, in the order of release and within the teams' limits. */
export function listRequests(input: RequestListInput): ResourceRequest[] {
  const { releaseQueue: order, usage, nowMs } = input;
  const queued = [...input.jobs]
    .filter((job) => !job.cancelled && !job.isReloading && !job.counter.isFull)
    .map((job) => ({
      state: job,
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
  for (const { job, key } of order.sort(queued, input.wallMs, (team) => usage.load(team))) {
    const budget = budgets.get(job.spec.team);
    if (!budget || job.state.holdUntil > nowMs) continue;
    const tasks = tasksToRequest(job.state, budget.tasksThatFit(job.spec), input.maxTasksPerRequest);
    if (tasks > 0) {
      budget.take(job.spec, tasks);
      requests.push(makeRequest(job.state, key, tasks, input));
    } else budget.reserve(job, input.wallMs);
  }
  return requests;
}

function tasksToRequest(job: OwnedJob, fit: number, batch: number): number {
  const { spec } = job;
  const open = spec.taskCount - job.counter.count - job.placements.size;
  if (spec.kind === 'gang') return job.placements.size > 0 || fit < spec.taskCount ? 0 : open;
  const paced = Math.min(open, fit, batch);
  return job.failures >= FAILURES_TO_THROTTLE ? Math.min(paced, Math.max(0, 1 - job.placements.size)) : paced;
}

function makeRequest(job: OwnedJob, key: QueueKey, tasks: number, input: RequestListInput): ResourceRequest {
  const { spec } = job;
  return {
    jobId: spec.id,
    team: spec.team,
    jobClass: spec.jobClass,
    priority: spec.priority,
    queuePosition: key.position,
    missedObjectives: key.missedObjectives,
    taskCount: tasks,
    allOrNothing: spec.kind === 'gang',
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
    lastGrantTaken: input.lastGrantTaken,
  };
}

function zoneConstraints(job: OwnedJob): Pick<ResourceRequest, 'zone' | 'zoneAllowance' | 'maxTasksPerZone'> {
  const { spec } = job;
  const maxTasksPerZone = Math.ceil(spec.taskCount / 2);
  let zone = spec.zone;
  // One task alone is spread anywhere, and must not count among those that need a second zone.
  const zoneAllowance: Record<string, number> | null =
    spec.zoneAntiAffinity && spec.taskCount > 1 ? {} : null;
  for (const placement of job.placements.values()) {
    if (spec.zoneAffinity) zone = placement.zone;
    if (zoneAllowance) zoneAllowance[placement.zone] = (zoneAllowance[placement.zone] ?? maxTasksPerZone) - 1;
  }
  return { zone, zoneAllowance: zoneAllowance, maxTasksPerZone: maxTasksPerZone };
}

/** See `ResourceRequest.remainingTasks`: a task that never had an attempt is listed nowhere. */
function remainingTasks(job: OwnedJob): Pick<ResourceRequest, 'remainingTasks'> {
  const { spec, counter: count, placements: placed, attempts, fanOut: fan } = job;
  const left = spec.taskCount - count.count - placed.size;
  if (spec.kind === 'gang' || left > MAX_REMAINING_TASKS_LISTED || attempts.size === 0) return {};
  const tasks = fan.waiting((task) => count.has(task) || placed.has(task));
  return tasks.some((task) => attempts.has(task)) ? { remainingTasks: tasks } : {};
}

function machinesToAvoid(job: OwnedJob, nowMs: number): string[] {
  const machines: string[] = [];
  for (const [machine, until] of job.avoidedMachines) {
    if (until > nowMs) machines.push(machine);
    else job.avoidedMachines.delete(machine);
  }
  return machines;
}

/** Its aim or deadline, and what is left until then. */
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
    ? { objectiveSeconds: objectiveSeconds, slackSeconds: slackSeconds }
    : { objectiveSeconds: null, slackSeconds: null };
}
