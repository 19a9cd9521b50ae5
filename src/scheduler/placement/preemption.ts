import type { TaskAttempt } from '../../model/job.js';
import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState, SchedulerOptions } from '../cluster-state.js';
import { type Allocation, type Machine, usesCapacity } from '../machine.js';
import { bootingCapacities } from './booting-capacity.js';
import { avoidsAnyMachine, emptyCapacity, equivalenceKey, fits, isOpenTo, take } from './free-capacity.js';

/** So long work waits before a gang of another team is stopped for its guarantee: all tasks of a gang stop with one. */
const STOP_GANG_AFTER_MS = 30000;
/** Share of the machines that boot from which no work, and from which no gang, is stopped for a guarantee. */
const STARTING_SHARE = 0.15;
const STARTING_SHARE_FOR_GANGS = 0.05;
/** Pause after a look for work to stop that found none: it looks at every task of the fleet. */
const RETRY_AFTER_MS = 1000;
/** Ranks up to this one look for work to stop in each pass: prod and urgent work counts by seconds. */
const URGENT_PRIORITY = 1;
/** So long what was freed for a job is kept for it. */
const RESERVATION_MS = 5000;

function isUrgent(request: ResourceRequest): boolean {
  return request.isService || request.priority <= URGENT_PRIORITY;
}

/** What each team uses. */
export type Usage = Map<string, { cpus: number; gpus: number }>;

/** One more task of a want counts as running. */
export function addUsage(usage: Usage, request: ResourceRequest): void {
  const used = usage.get(request.team);
  if (!used) return;
  used.cpus += request.cpus;
  used.gpus += request.gpus;
}

/** Tasks that may be stopped on a machine for one task of a want, and what is lost by it. */
interface PreemptionOffer {
  m: Machine;
  victims: Allocation[];
  cost: number;
}

/** Chooses which work is stopped to make room for other work, within what "Preemption" of the protocol allows. */
export class Preemption {
  /** When no work to stop was found for a job. */
  private readonly failedAt = new Map<string, number>();
  /** In this pass: kinds of wants that nothing can be stopped for. */
  private readonly exhaustedKeys = new Set<string>();
  private readonly candidates = new Map<string | null, Machine[]>();
  /** In this pass: the tasks of each gang, and the share of machines that boot, once they were asked for. */
  private gangTasks: Map<string, Allocation[]> | null = null;
  private bootingShare: number | null = null;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    /** Since when a job's work has found no room. */
    private readonly unmetSince: (job: string) => number | undefined,
  ) {}

  beginPass(): void {
    this.exhaustedKeys.clear();
    this.candidates.clear();
    this.gangTasks = null;
    this.bootingShare = null;
  }

  endPass(waiting: ReadonlySet<string>): void {
    for (const job of this.failedAt.keys()) if (!waiting.has(job)) this.failedAt.delete(job);
  }

  /** `less`: CPUs of the team's tasks that are chosen already. */
  private canPreempt(
    request: ResourceRequest,
    allocation: Allocation,
    usage: Usage,
    cpusAlreadyChosen = 0,
  ): boolean {
    if (allocation.desiredState !== 'run' || allocation.evictionRequestedAt || allocation.isFinalized)
      return false;
    // Services give way to nothing below them, whatever team they belong to.
    if (allocation.priority === 0) return false;
    if (allocation.team === request.team || request.priority === 0)
      return allocation.priority > request.priority;
    const team = this.options.teams.get(allocation.team);
    const u = usage.get(allocation.team);
    const beyond = !!team && !!u && u.cpus - cpusAlreadyChosen > team.guaranteedCpus + 1e-9;
    const within = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
    // A guarantee goes before rank: were it otherwise, each of two teams could stop the other for ever.
    if (allocation.priority > request.priority) return beyond || within;
    return beyond && within && this.canClaimGuarantee(request, allocation);
  }

  /**
   * Work of no lower priority gives way to another team's guarantee, but not while most of the fleet boots: there is soon
   * room (seen on bhuj-relief-works: 1,500 tasks stopped in the first minute, most of the leader's processor time spent on
   * choosing them). A gang gives way last, since all of its tasks stop with one.
   */
  private canClaimGuarantee(request: ResourceRequest, allocation: Allocation): boolean {
    this.bootingShare ??=
      bootingCapacities(this.state, this.options.clock.now()).length / Math.max(1, this.state.machines.size);
    if (!allocation.isGang) return this.bootingShare < STARTING_SHARE;
    const now = this.options.clock.now();
    const waitedMs = now - (this.unmetSince(request.jobId) ?? now);
    return this.bootingShare < STARTING_SHARE_FOR_GANGS && waitedMs >= STOP_GANG_AFTER_MS;
  }

  /** What would have to be stopped on a machine for one task of a want, and what is lost by it. */
  private offer(
    machine: Machine,
    request: ResourceRequest,
    usage: Usage,
    now: number,
  ): PreemptionOffer | null {
    const machineType = this.state.machineTypes.get(machine.machineType);
    if (!machineType) return null;
    const capacity = emptyCapacity(machineType, machine.zone, machine.isSpot, machine.name);
    capacity.isSurplus = this.state.isSurplus(machine, now);
    // By the same question as placing: tasks were stopped every 5 s for services that then were not let in (inc-1fa0).
    if (!isOpenTo(capacity, request, this.state.scarceZone)) return null;
    const may: Allocation[] = [];
    for (const allocation of machine.allocations.values()) {
      // Room that is being freed was promised before.
      if (!usesCapacity(allocation)) continue;
      take(capacity, allocation);
      if (
        !allocation.evictionRequestedAt &&
        allocation.desiredState !== 'stop' &&
        this.canPreempt(request, allocation, usage)
      )
        may.push(allocation);
    }
    may.sort((a, b) => b.priority - a.priority || b.phaseSince - a.phaseSince);
    const victims: Allocation[] = [];
    const less = new Map<string, number>();
    for (const allocation of may) {
      if (fits(capacity, request)) break;
      // A team a little beyond its guarantee must not lose more than that: it would claim it back, and so for ever.
      const gone = less.get(allocation.team) ?? 0;
      if (!this.canPreempt(request, allocation, usage, gone)) continue;
      less.set(allocation.team, gone + allocation.cpus);
      victims.push(allocation);
      capacity.cpus += allocation.cpus;
      capacity.gpus += allocation.gpus;
      capacity.memoryGb += allocation.memoryGb;
    }
    if (!fits(capacity, request) || victims.length === 0) return null;
    let cost = machine.images.has(request.image) ? 0 : request.imageGb * 20;
    for (const allocation of victims)
      for (const task of this.evictedTogether(allocation))
        cost += (task.cpus * (now - task.phaseSince)) / 1000 + (3 - allocation.priority) * 30;
    return { m: machine, victims, cost };
  }

  /** All tasks that end when one is stopped: those of its gang, or itself. */
  private evictedTogether(allocation: Allocation): readonly Allocation[] {
    if (!allocation.isGang) return [allocation];
    this.gangTasks ??= this.findGangTasks();
    return this.gangTasks.get(allocation.jobId) ?? [allocation];
  }

  private findGangTasks(): Map<string, Allocation[]> {
    const tasks = new Map<string, Allocation[]>();
    for (const machine of this.state.machines.values())
      for (const allocation of machine.allocations.values()) {
        if (!allocation.isGang || allocation.desiredState !== 'run' || allocation.isFinalized) continue;
        const gang = tasks.get(allocation.jobId);
        if (gang) gang.push(allocation);
        else tasks.set(allocation.jobId, [allocation]);
      }
    return tasks;
  }

  /** Machines with work that may be stopped, of this pass; with an image: those that hold it. */
  private candidateMachines(now: number, image: string | null): Machine[] {
    if (this.candidates.size === 0) {
      const all: Machine[] = [];
      this.candidates.set(null, all);
      for (const machine of this.state.machines.values()) {
        if (machine.totals.batch.cpus <= 0 || !this.state.isUsable(machine, now)) continue;
        all.push(machine);
        for (const name of machine.images.keys()) {
          const l = this.candidates.get(name);
          if (l) l.push(machine);
          else this.candidates.set(name, [machine]);
        }
      }
    }
    return this.candidates.get(image) ?? [];
  }

  /**
   * Has lower work stopped so that `count` tasks of a want find room, least lost work first. Returns for how many there will
   * be room.
   */
  preempt(request: ResourceRequest, count: number, usage: Usage, now: number, warmOnly = false): number {
    const inside = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
    let lower = false;
    for (let k = request.priority + 1; k < 4; k++) if (this.state.totals.ranks[k]! > 0) lower = true;
    if (!lower && !inside) return 0;
    // A pass with hundreds of replicas without room looked at every machine for each of them: half a scheduler's time at
    // two thousand machines. What one want could not be made room for, others like it can't be either.
    const key = `${equivalenceKey(request)}|${inside}|${warmOnly ? request.image : ''}`;
    if (this.exhaustedKeys.has(key)) return 0;
    // Where each job has a size of its own, that saves nothing: passes took 0.4 s while 300 machines came up (seen on
    // bhuj-relief-works).
    if (
      !isUrgent(request) &&
      now - (this.failedAt.get(request.jobId) ?? Number.NEGATIVE_INFINITY) < RETRY_AFTER_MS
    )
      return 0;
    const offers = this.offers(request, usage, now, warmOnly);
    const victims: Allocation[] = [];
    let picked = 0;
    for (; picked < count; picked++) {
      const pick = offers.pop();
      if (!pick) break;
      addUsage(usage, request);
      this.reserve(pick.m, request, now);
      for (const victim of pick.victims) victims.push(...this.markEvicted(victim, usage, now));
      const again = this.offer(pick.m, request, usage, now);
      if (!again) continue;
      let at = offers.length;
      while (at > 0 && offers[at - 1]!.cost < again.cost) at--;
      offers.splice(at, 0, again);
    }
    if (picked < count && !avoidsAnyMachine(request)) this.exhaustedKeys.add(key);
    if (picked === 0) this.failedAt.set(request.jobId, now);
    this.requestEvictions(victims, `room for ${request.jobId}`);
    return picked;
  }

  /** What may be stopped on each machine for one task of a want, cheapest last. */
  private offers(request: ResourceRequest, usage: Usage, now: number, warmOnly: boolean): PreemptionOffer[] {
    const offers: PreemptionOffer[] = [];
    for (const machine of this.candidateMachines(now, warmOnly ? request.image : null)) {
      const { batch, free } = machine.totals;
      if (
        batch.cpus + free.cpus + 1e-9 < request.cpus ||
        batch.memoryGb + free.memoryGb + 1e-9 < request.memoryGb
      )
        continue;
      const o = this.offer(machine, request, usage, now);
      if (o) offers.push(o);
    }
    return offers.sort((a, b) => b.cost - a.cost);
  }

  /** What is freed is for this want; lower work would only have to be stopped again. */
  private reserve(machine: Machine, request: ResourceRequest, now: number): void {
    machine.reservation = { jobId: request.jobId, priority: request.priority, until: now + RESERVATION_MS };
    this.state.reservedMachines.add(machine);
    this.state.markChanged(machine);
  }

  /** Marks a task and all that stop with it; returns those that were not marked before. */
  private markEvicted(victim: Allocation, usage: Usage, now: number): Allocation[] {
    const marked = this.evictedTogether(victim).filter((allocation) => !allocation.evictionRequestedAt);
    for (const e of marked) {
      e.evictionRequestedAt = now;
      this.state.evictions.add(e);
      const machine = this.state.machines.get(e.machine);
      if (machine) this.state.markChanged(machine);
      const u = usage.get(e.team);
      if (u) u.cpus -= e.cpus;
    }
    return marked;
  }

  /** Asks the owners of tasks to stop them: they know whether a task may save, and with how much grace. */
  private requestEvictions(victims: Allocation[], reason: string): void {
    const stops = new Map<string, TaskAttempt[]>();
    for (const { jobId, taskIndex, attempt, team } of victims) {
      const instanceId = this.state.owners.get(team)?.instanceId;
      if (!instanceId) continue;
      const tasks = stops.get(instanceId) ?? [];
      tasks.push({ jobId, taskIndex, attempt });
      stops.set(instanceId, tasks);
    }
    for (const [instanceId, tasks] of stops)
      this.options.send(instanceId, { type: 'evict', fencingToken: this.state.fencingToken, tasks, reason });
  }
}
