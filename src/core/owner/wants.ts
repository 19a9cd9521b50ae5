import type { JobSpec, Want } from '../types.js';
import type { OwnedJob } from './job.js';
import type { QueueKey, ReleaseOrder } from './release-order.js';
import { TeamBudget } from './team-budget.js';
import type { TeamUsage } from './team-usage.js';

/** Tasks left of a job up to which they are told one by one. */
const MOST_TASKS_TOLD = 16;
/** Failures of a job in a row from which it is tried with one task at a time. */
const FAILURES_TO_THROTTLE = 3;

export interface WantsInput {
  jobs: Iterable<OwnedJob>;
  /** Teams whose jobs have been read. */
  teams: Iterable<string>;
  order: ReleaseOrder;
  usage: TeamUsage;
  /** Most tasks of one job asked for at a time: the pace of a large fan-out. */
  batch: number;
  nowMs: number;
  wallMs: number;
  /** The newest grant taken in from the present scheduler. */
  lastGrant: number;
}

/** What the jobs of an owner would start now if they had room, in the order of release and within the teams' limits. */
export function listWants(input: WantsInput): Want[] {
  const { order, usage, nowMs } = input;
  const queued = [...input.jobs]
    .filter((job) => !job.cancelled && !job.reloading && !job.count.full)
    .map((job) => ({
      state: job,
      spec: job.spec,
      order: job.order,
      finished: job.count.n,
      placed: job.placed.size,
      failures: job.failures,
    }));
  const budgets = new Map<string, TeamBudget>();
  for (const team of input.teams) {
    const jobs = queued.filter(({ spec }) => spec.team === team);
    const budget = TeamBudget.of(team, usage, jobs);
    if (budget) budgets.set(team, budget);
  }
  const wants: Want[] = [];
  for (const { job, key } of order.sort(queued, input.wallMs, (team) => usage.load(team))) {
    const budget = budgets.get(job.spec.team);
    if (!budget || job.state.holdUntil > nowMs) continue;
    const tasks = tasksToAsk(job.state, budget.fit(job.spec), input.batch);
    if (tasks > 0) {
      budget.take(job.spec, tasks);
      wants.push(makeWant(job.state, key, tasks, input));
    } else budget.reserve(job, input.wallMs);
  }
  return wants;
}

function tasksToAsk(job: OwnedJob, fit: number, batch: number): number {
  const { spec } = job;
  const open = spec.tasks - job.count.n - job.placed.size;
  if (spec.shape === 'gang') return job.placed.size > 0 || fit < spec.tasks ? 0 : open;
  const paced = Math.min(open, fit, batch);
  return job.failures >= FAILURES_TO_THROTTLE ? Math.min(paced, Math.max(0, 1 - job.placed.size)) : paced;
}

function makeWant(job: OwnedJob, key: QueueKey, tasks: number, input: WantsInput): Want {
  const { spec } = job;
  return {
    job: spec.id,
    team: spec.team,
    cls: spec.cls,
    rank: spec.rank,
    order: key.position,
    stage: key.stage,
    count: tasks,
    whole: spec.shape === 'gang',
    service: spec.shape === 'service',
    cpus: spec.cpus,
    gpus: spec.gpus,
    mem: spec.mem,
    image: spec.image,
    imageGb: spec.imageGb,
    estimateS: spec.estimateS,
    types: spec.types,
    spot: spec.spot,
    ...zonesLeft(job),
    together: spec.together,
    avoid: machinesToAvoid(job, input.nowMs),
    ...tasksLeft(job),
    near: job.near,
    patienceS: null,
    ...slack(spec, input),
    seen: input.lastGrant,
  };
}

function zonesLeft(job: OwnedJob): Pick<Want, 'zone' | 'zoneRoom' | 'zoneCap'> {
  const { spec } = job;
  const zoneCap = Math.ceil(spec.tasks / 2);
  let zone = spec.zone;
  // One task alone is spread anywhere, and must not count among those that need a second zone.
  const zoneRoom: Record<string, number> | null = spec.apart && spec.tasks > 1 ? {} : null;
  for (const placement of job.placed.values()) {
    if (spec.together) zone = placement.zone;
    if (zoneRoom) zoneRoom[placement.zone] = (zoneRoom[placement.zone] ?? zoneCap) - 1;
  }
  return { zone, zoneRoom, zoneCap };
}

/** See `Want.tasksLeft`: a task that never had an attempt is listed nowhere. */
function tasksLeft(job: OwnedJob): Pick<Want, 'tasksLeft'> {
  const { spec, count, placed, attempts, fan } = job;
  const left = spec.tasks - count.n - placed.size;
  if (spec.shape === 'gang' || left > MOST_TASKS_TOLD || attempts.size === 0) return {};
  const tasks = fan.waiting((task) => count.has(task) || placed.has(task));
  return tasks.some((task) => attempts.has(task)) ? { tasksLeft: tasks } : {};
}

function machinesToAvoid(job: OwnedJob, nowMs: number): string[] {
  const machines: string[] = [];
  for (const [machine, until] of job.avoid) {
    if (until > nowMs) machines.push(machine);
    else job.avoid.delete(machine);
  }
  return machines;
}

/** Its aim or deadline, and what is left until then. */
function slack(spec: JobSpec, input: WantsInput): Pick<Want, 'aimS' | 'slackS'> {
  const aimS = spec.deadlineS ?? (spec.shape === 'service' ? undefined : input.order.firstAimS(spec));
  if (aimS === undefined) return { aimS: null, slackS: null };
  const slackS = aimS - (input.wallMs - spec.at) / 1000;
  return slackS > 0 ? { aimS, slackS } : { aimS: null, slackS: null };
}
