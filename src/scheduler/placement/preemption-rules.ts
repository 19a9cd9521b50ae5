/** Which running task may be stopped for which request. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON } from '../../model/resources.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { bootingCapacities } from './booting-capacity.js';
import type { UsageByTeam } from './usage-by-team.js';

/** So long work waits before a gang of another team is stopped for its guarantee: all tasks of a gang stop with one. */
const RECLAIM_FROM_GANG_AFTER_MS = 30_000;
/** Share of the machines that boot from which no work, and from which no gang, is stopped for a guarantee. */
const MAX_BOOTING_SHARE = 0.15;
const MAX_BOOTING_SHARE_FOR_GANGS = 0.05;

/** What a search for tasks to stop is for. */
export interface PreemptionQuery {
  request: ResourceRequest;
  /** Changes while tasks are chosen. */
  usage: UsageByTeam;
  now: number;
}

/** Holds what "Preemption" of the protocol allows. */
export class PreemptionRules {
  /** In this pass: the share of machines that boot, once it was asked for. */
  private bootingShare: number | null = null;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    /** Since when a job's work has found no capacity. */
    private readonly unplacedSince: (jobId: string) => number | undefined,
  ) {}

  /** Forgets what the last pass found. */
  beginPass(): void {
    this.bootingShare = null;
  }

  /** `cpusAlreadyChosen`: CPUs of the same team's tasks that are to be stopped besides this one. */
  canPreempt(
    { request, usage }: PreemptionQuery,
    allocation: Allocation,
    cpusAlreadyChosen: number,
  ): boolean {
    if (allocation.desiredState !== 'run' || allocation.evictionRequestedAt || allocation.isFinalized)
      return false;
    // Services give way to nothing below them, whatever team they belong to.
    if (allocation.priority === 0) return false;
    if (allocation.team === request.team || request.priority === 0)
      return allocation.priority > request.priority;
    const team = this.options.teams.get(allocation.team);
    const used = usage.get(allocation.team);
    const isVictimOverGuarantee =
      !!team && !!used && used.cpus - cpusAlreadyChosen > team.guaranteedCpus + EPSILON;
    const isWithinGuarantee = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
    // A guarantee goes before priority: were it otherwise, each of two teams could stop the other for ever.
    if (allocation.priority > request.priority) return isVictimOverGuarantee || isWithinGuarantee;
    return isVictimOverGuarantee && isWithinGuarantee && this.canReclaimGuarantee(request, allocation);
  }

  /**
   * Work of no lower priority gives way to another team's guarantee, but not while many machines boot: there is soon
   * capacity, and choosing what to stop for all that waits would take most of the leader's processor time. A gang gives
   * way last, since all of its tasks stop with one.
   */
  private canReclaimGuarantee(request: ResourceRequest, allocation: Allocation): boolean {
    this.bootingShare ??=
      bootingCapacities(this.state, this.options.clock.now()).length / Math.max(1, this.state.machines.size);
    if (!allocation.isGang) return this.bootingShare < MAX_BOOTING_SHARE;
    const now = this.options.clock.now();
    const waitedMs = now - (this.unplacedSince(request.jobId) ?? now);
    return this.bootingShare < MAX_BOOTING_SHARE_FOR_GANGS && waitedMs >= RECLAIM_FROM_GANG_AFTER_MS;
  }
}
