/** Decides which running tasks may be preempted for which requests. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON } from '../../model/resources.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { bootingCapacities } from './booting-capacity.js';
import type { UsageByTeam } from './usage-by-team.js';

/**
 * How long a request waits before a gang of another team is preempted to reclaim a guaranteed share: all
 * tasks of a gang stop with one.
 */
const RECLAIM_FROM_GANG_AFTER_MS = 30_000;
/**
 * Booting machines as a share of all machines: from the first share on, no task is preempted to reclaim a
 * guaranteed share, and from the second on, no gang.
 */
const MAX_BOOTING_SHARE = 0.15;
const MAX_BOOTING_SHARE_FOR_GANGS = 0.05;

/** The request that tasks are preempted for, and the state that the rules depend on. */
export interface PreemptionQuery {
  request: ResourceRequest;
  /** Usage of all teams, updated while victims are chosen. */
  usage: UsageByTeam;
  now: number;
}

/**
 * Rules of preemption. Within a team, and for requests of priority 0, only the priorities count. Between
 * teams, the guaranteed shares of both teams count as well.
 */
export class PreemptionRules {
  /** Booting machines as a share of all machines, computed once per pass; null: not yet. */
  private bootingShare: number | null = null;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    /** Returns since when some task of a job has found no capacity; undefined: all have found some. */
    private readonly unplacedSince: (jobId: string) => number | undefined,
  ) {}

  /** Clears the share of booting machines of the previous pass. */
  beginPass(): void {
    this.bootingShare = null;
  }

  /**
   * Whether this task may be preempted for one task of the request. Between teams, it may if its team is over
   * its guaranteed share of CPUs or the request is within its own team's share; both are required, and
   * `canReclaimGuarantee`, unless the task has a lower priority than the request. `cpusAlreadyChosen`: CPUs
   * of the victims that were already chosen from its team but are not yet subtracted from its usage.
   */
  canPreempt(
    { request, usage }: PreemptionQuery,
    allocation: Allocation,
    cpusAlreadyChosen: number,
  ): boolean {
    if (allocation.desiredState !== 'run' || allocation.evictionRequestedAt || allocation.isFinalized)
      return false;
    // Tasks of priority 0, such as services, are never preempted, whatever team they belong to.
    if (allocation.priority === 0) return false;
    if (allocation.team === request.team || request.priority === 0)
      return allocation.priority > request.priority;
    const team = this.options.teams.get(allocation.team);
    const used = usage.get(allocation.team);
    const isVictimOverGuarantee =
      !!team && !!used && used.cpus - cpusAlreadyChosen > team.guaranteedCpus + EPSILON;
    const isWithinGuarantee = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
    // Guaranteed shares take precedence over priority: otherwise two teams could preempt each other forever.
    if (allocation.priority > request.priority) return isVictimOverGuarantee || isWithinGuarantee;
    return isVictimOverGuarantee && isWithinGuarantee && this.canReclaimGuarantee(request, allocation);
  }

  /**
   * Whether a task of equal or higher priority may be preempted to reclaim the guaranteed share of the
   * request's team. No task may be while many machines are booting: there will soon be capacity, and choosing
   * victims for all waiting requests would take most of the leader's CPU time. Gangs are preempted last,
   * since all tasks of a gang stop with one.
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
