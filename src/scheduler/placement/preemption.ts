/** Preempts running tasks so that other requests find capacity. */

import type { TaskAttempt } from '../../model/job.js';
import type { ResourceRequest } from '../../model/placement.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { excludesAnyMachine } from './capacity-filter.js';
import { equivalenceKey } from './equivalence-key.js';
import type { CapacityDemand } from './free-capacity.js';
import { type PreemptionCandidate, PreemptionCandidates } from './preemption-candidates.js';
import { type PreemptionQuery, PreemptionRules } from './preemption-rules.js';
import { RunningGangs } from './running-gangs.js';
import { addUsage, type UsageByTeam } from './usage-by-team.js';

/** Pause after a search for victims that found none: each search looks at every task of the fleet. */
const RETRY_AFTER_MS = 1000;
/**
 * Services and requests of at least this priority search for tasks to preempt in every placement pass, since
 * every second counts for them; other requests pause for `RETRY_AFTER_MS` after a failed search.
 */
const URGENT_PRIORITY = 1;
/** How long capacity that was freed for a job is reserved for it. */
const RESERVATION_MS = 5000;

/** Team usage, time and machines that a search for victims works with. */
export interface PreemptionScope {
  /**
   * Usage of all teams, updated with the CPUs of the victims and with the tasks that they are preempted for.
   */
  usage: UsageByTeam;
  now: number;
  /** Whether to search only warm machines, which hold the request's image. */
  warmOnly: boolean;
}

/** Chooses the tasks to preempt, those with the lowest cost first. */
export class Preemption {
  /** When the last search for victims for a job found none. */
  private readonly lastFailedAt = new Map<string, number>();
  /** Equivalence classes of requests for which nothing more can be preempted in this pass. */
  private readonly exhaustedKeys = new Set<string>();
  private readonly rules: PreemptionRules;
  private readonly gangs: RunningGangs;
  private readonly candidates: PreemptionCandidates;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    unplacedSince: (jobId: string) => number | undefined,
  ) {
    this.rules = new PreemptionRules(options, state, unplacedSince);
    this.gangs = new RunningGangs(state);
    this.candidates = new PreemptionCandidates(state, this.rules, this.gangs);
  }

  /** Clears the exhausted equivalence classes and the cached values of the previous pass. */
  beginPass(): void {
    this.exhaustedKeys.clear();
    this.rules.beginPass();
    this.gangs.beginPass();
    this.candidates.beginPass();
  }

  /** Drops the records of failed searches for victims of jobs that no longer wait. */
  endPass(waitingJobs: ReadonlySet<string>): void {
    for (const jobId of this.lastFailedAt.keys())
      if (!waitingJobs.has(jobId)) this.lastFailedAt.delete(jobId);
  }

  /**
   * Preempts tasks so that up to `count` tasks of a request find capacity. Returns how many of them will,
   * once the victims have stopped. Returns 0 without a search if the request can preempt nothing, if an
   * equivalent one found too few victims in this pass, or if it is not urgent and a search for its job
   * found none less than `RETRY_AFTER_MS` ago.
   */
  preempt({ request, count }: CapacityDemand, { usage, now, warmOnly }: PreemptionScope): number {
    const isWithinGuarantee = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
    if (!isWithinGuarantee && !this.hasLowerPriorityWork(request)) return 0;
    // Each search for victims looks at every machine: if a search finds too few, equivalent requests need not
    // search.
    const key = `${equivalenceKey(request)}|${isWithinGuarantee}|${warmOnly ? request.image : ''}`;
    if (this.exhaustedKeys.has(key)) return 0;
    // If every job has its own task size, no requests are equivalent, so failed searches also pause per job.
    if (!isUrgent(request) && this.hasFailedRecently(request, now)) return 0;
    const query: PreemptionQuery = { request, usage, now };
    const candidates = this.candidates.findAll(query, warmOnly);
    const victims: Allocation[] = [];
    let satisfied = 0;
    for (; satisfied < count; satisfied++) {
      const candidate = candidates.pop();
      if (!candidate) break;
      this.applyCandidate(candidate, query, victims);
      const next = this.candidates.candidateOn(candidate.machine, query);
      if (next) insertByCost(candidates, next);
    }
    if (satisfied < count && !excludesAnyMachine(request)) this.exhaustedKeys.add(key);
    if (satisfied === 0) this.lastFailedAt.set(request.jobId, now);
    this.requestEvictions(victims, `room for ${request.jobId}`);
    return satisfied;
  }

  private hasLowerPriorityWork(request: ResourceRequest): boolean {
    return this.state.totals.runningByPriority.some(
      (tasks, priority) => priority > request.priority && tasks > 0,
    );
  }

  private hasFailedRecently(request: ResourceRequest, now: number): boolean {
    return now - (this.lastFailedAt.get(request.jobId) ?? Number.NEGATIVE_INFINITY) < RETRY_AFTER_MS;
  }

  private applyCandidate(
    candidate: PreemptionCandidate,
    query: PreemptionQuery,
    victims: Allocation[],
  ): void {
    addUsage(query.usage, query.request);
    this.reserve(candidate.machine, query);
    for (const victim of candidate.victims) this.recordEvictions(victim, query, victims);
  }

  /**
   * Reserves a machine for the request's job, in place of any earlier reservation: lower-priority work placed
   * there would be preempted again.
   */
  private reserve(machine: Machine, { request, now }: PreemptionQuery): void {
    machine.reservation = { jobId: request.jobId, priority: request.priority, until: now + RESERVATION_MS };
    this.state.machinesWithReservation.add(machine);
    this.state.invalidateTotals(machine);
  }

  /** Records the eviction of a task and of all tasks that stop with it; adds the new ones to `victims`. */
  private recordEvictions(victim: Allocation, { usage, now }: PreemptionQuery, victims: Allocation[]): void {
    for (const allocation of this.gangs.tasksStoppedWith(victim)) {
      if (allocation.evictionRequestedAt) continue;
      allocation.evictionRequestedAt = now;
      this.state.evictions.add(allocation);
      const machine = this.state.machines.get(allocation.machine);
      if (machine) this.state.invalidateTotals(machine);
      const used = usage.get(allocation.team);
      if (used) used.cpus -= allocation.cpus;
      victims.push(allocation);
    }
  }

  /** Asks the shard owners to stop tasks: they know whether a task saves checkpoints and its grace period. */
  private requestEvictions(victims: readonly Allocation[], reason: string): void {
    const tasksByOwner = new Map<string, TaskAttempt[]>();
    for (const { jobId, taskIndex, attempt, team } of victims) {
      const instanceId = this.state.owners.get(team)?.instanceId;
      if (!instanceId) continue;
      const tasks = tasksByOwner.get(instanceId) ?? [];
      tasks.push({ jobId, taskIndex, attempt });
      tasksByOwner.set(instanceId, tasks);
    }
    for (const [instanceId, tasks] of tasksByOwner)
      this.options.send(instanceId, { type: 'evict', fencingToken: this.state.fencingToken, tasks, reason });
  }
}

function isUrgent(request: ResourceRequest): boolean {
  return request.isService || request.priority <= URGENT_PRIORITY;
}

/** Inserts a candidate into a list with the cheapest last; among equal costs, the new one comes last. */
function insertByCost(candidates: PreemptionCandidate[], candidate: PreemptionCandidate): void {
  let index = candidates.length;
  while (index > 0 && (candidates[index - 1]?.cost ?? Number.POSITIVE_INFINITY) < candidate.cost) index--;
  candidates.splice(index, 0, candidate);
}
