/** Has running work stopped, so that other work finds capacity. */

import type { TaskAttempt } from '../../model/job.js';
import type { ResourceRequest } from '../../model/placement.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { avoidsAnyMachine } from './capacity-filter.js';
import { equivalenceKey } from './equivalence-key.js';
import type { CapacityDemand } from './free-capacity.js';
import { type PreemptionCandidate, PreemptionCandidates } from './preemption-candidates.js';
import { type PreemptionQuery, PreemptionRules } from './preemption-rules.js';
import { RunningGangs } from './running-gangs.js';
import { addUsage, type UsageByTeam } from './usage-by-team.js';

/** Pause after a search for work to stop that found none: it looks at every task of the fleet. */
const RETRY_AFTER_MS = 1000;
/** Priorities up to this one search in each pass: services and urgent work count by seconds. */
const URGENT_PRIORITY = 1;
/** So long what was freed for a job is kept for it. */
const RESERVATION_MS = 5000;

/** Where and when work may be stopped. */
export interface PreemptionScope {
  /** Changed by what is stopped, and by what it is stopped for. */
  usage: UsageByTeam;
  now: number;
  /** Only on machines that hold the request's image. */
  warmOnly: boolean;
}

/** Chooses which work is stopped, least lost work first. */
export class Preemption {
  /** When no work to stop was found for a job. */
  private readonly lastFailedAt = new Map<string, number>();
  /** In this pass: kinds of requests that nothing can be stopped for. */
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

  /** Forgets what the last pass found. */
  beginPass(): void {
    this.exhaustedKeys.clear();
    this.rules.beginPass();
    this.gangs.beginPass();
    this.candidates.beginPass();
  }

  /** Forgets jobs that no longer wait. */
  endPass(waitingJobs: ReadonlySet<string>): void {
    for (const job of this.lastFailedAt.keys()) if (!waitingJobs.has(job)) this.lastFailedAt.delete(job);
  }

  /** Has lower work stopped so that `count` tasks find capacity. Returns how many will. */
  preempt({ request, count }: CapacityDemand, { usage, now, warmOnly }: PreemptionScope): number {
    const isWithinGuarantee = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
    if (!isWithinGuarantee && !this.hasLowerPriorityWork(request)) return 0;
    // Each search looks at every machine: what one request could not be given, others like it can't be either.
    const key = `${equivalenceKey(request)}|${isWithinGuarantee}|${warmOnly ? request.image : ''}`;
    if (this.exhaustedKeys.has(key)) return 0;
    // Where each job has a size of its own, that saves nothing.
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
    if (satisfied < count && !avoidsAnyMachine(request)) this.exhaustedKeys.add(key);
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
    for (const victim of candidate.victims) this.markForEviction(victim, query, victims);
  }

  /** What is freed is for this request; lower work would only have to be stopped again. */
  private reserve(machine: Machine, { request, now }: PreemptionQuery): void {
    machine.reservation = { jobId: request.jobId, priority: request.priority, until: now + RESERVATION_MS };
    this.state.machinesWithReservation.add(machine);
    this.state.markChanged(machine);
  }

  /** Notes that a task and all that stop with it are about to; adds those not noted before to `victims`. */
  private markForEviction(victim: Allocation, { usage, now }: PreemptionQuery, victims: Allocation[]): void {
    for (const allocation of this.gangs.tasksStoppedWith(victim)) {
      if (allocation.evictionRequestedAt) continue;
      allocation.evictionRequestedAt = now;
      this.state.evictions.add(allocation);
      const machine = this.state.machines.get(allocation.machine);
      if (machine) this.state.markChanged(machine);
      const used = usage.get(allocation.team);
      if (used) used.cpus -= allocation.cpus;
      victims.push(allocation);
    }
  }

  /** Asks the owners of tasks to stop them: they know whether a task may save a checkpoint, and with how much grace. */
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

/** Keeps the cheapest last; among equals the new one becomes the last. */
function insertByCost(candidates: PreemptionCandidate[], candidate: PreemptionCandidate): void {
  let index = candidates.length;
  while (index > 0 && (candidates[index - 1]?.cost ?? Number.POSITIVE_INFINITY) < candidate.cost) index--;
  candidates.splice(index, 0, candidate);
}
