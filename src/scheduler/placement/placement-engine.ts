import { LimitedLog } from '../../model/limited-log.js';
import type { Grant, ResourceRequest } from '../../model/placement.js';
import type { ClusterState, QueuedRequest, SchedulerOptions } from '../cluster-state.js';
import { OBJECTIVE_MARGIN } from '../fleet/rental-planner.js';
import { createAllocation, lastProofOfLife, type Machine } from '../machine.js';
import { AttemptConflicts } from './attempt-conflicts.js';
import { avoidsAnyMachine, equivalenceKey, type FreeCapacity, fill, take } from './free-capacity.js';
import { GangReservations } from './gang-reservations.js';
import { addUsage, Preemption, type Usage } from './preemption.js';

/** Part of an aim on waiting after which lower work is stopped for it. */
const PREEMPT_AFTER_SHARE = 0.25;

/** So long nothing of a job may find room before it takes what is kept for others. */
const STARVED_MS = 45000;

/** What a pass knows. */
interface PlacementPass {
  capacities: FreeCapacity[];
  /** Room that stops under way will free. */
  expectedCapacities: FreeCapacity[];
  usage: Usage;
  now: number;
}

/** Gives room to what owners want, by rank, guarantee and order, and has lower work stopped for it. */
export class PlacementEngine {
  readonly declinedUntil = new Map<string, number>();
  /** Classes with an aim on waiting, and the mean size of their jobs. */
  private readonly waitObjectiveSeconds = new Map<string, number>();
  private guaranteeObjectiveSeconds = Number.POSITIVE_INFINITY;
  /** Since when a job's work has found no room. */
  private readonly unplacedSince = new Map<string, number>();
  /** Since when nothing at all of a job has found room. */
  private readonly nothingPlacedSince = new Map<string, number>();
  private readonly batchProfiles = new Map<string, { request: ResourceRequest; meanTaskCount: number }>();
  private lastGrantId = 0;
  /** Kinds of wants that find no room in this pass. */
  private readonly exhaustedKeys = new Set<string>();
  private readonly preemption: Preemption;
  private readonly gangReservations: GangReservations;
  private readonly attemptConflicts: AttemptConflicts;
  private readonly log: LimitedLog;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {
    this.log = new LimitedLog(options.log, options.clock);
    this.gangReservations = new GangReservations(state);
    this.attemptConflicts = new AttemptConflicts(state, (reason) => options.raiseFencingToken(reason));
    this.preemption = new Preemption(options, state, (job) => this.unplacedSince.get(job));
    for (const a of options.objectives) {
      if (a.kind === 'wait')
        this.waitObjectiveSeconds.set(
          a.jobClass,
          Math.min(a.withinSeconds, this.waitObjectiveSeconds.get(a.jobClass) ?? a.withinSeconds),
        );
      if (a.kind === 'guarantee')
        this.guaranteeObjectiveSeconds = Math.min(this.guaranteeObjectiveSeconds, a.withinSeconds);
    }
  }

  /** Its slack less its run, with room for estimates that are too low, and the fetch of its image. */
  private maxWaitSeconds(request: ResourceRequest): number | null {
    if (request.slackSeconds === null || request.isService || request.allOrNothing) return null;
    return Math.max(
      0,
      request.slackSeconds -
        (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN -
        1.75 * request.estimatedRunSeconds -
        this.state.imageFetchSeconds(request),
    );
  }

  setRequests(instanceId: string, requests: ResourceRequest[]): void {
    const old = new Set(this.state.requests.get(instanceId)?.map((request) => request.jobId));
    for (const w of requests) w.maxWaitSeconds = this.maxWaitSeconds(w);
    for (const w of requests)
      if (!w.isService && !w.allOrNothing && !old.has(w.jobId) && this.waitObjectiveSeconds.has(w.jobClass)) {
        const b = this.batchProfiles.get(w.jobClass);
        this.batchProfiles.set(w.jobClass, {
          request: w,
          meanTaskCount: b ? b.meanTaskCount * 0.9 + w.taskCount * 0.1 : w.taskCount,
        });
      }
    this.state.requests.set(instanceId, requests);
    for (const w of requests) if (w.isService) this.state.learnServiceProfile(w);
  }

  /** The zone with the fewest types, then the least ordinary room, while jobs must be spread over zones. */
  private findScarceZone(): string | null {
    let spread = false;
    for (const s of this.state.serviceProfiles.values()) if (s.request.zoneAllowance) spread = true;
    if (!spread) return null;
    const room = new Map<string, { types: number; cpus: number }>();
    for (const machineType of this.state.machineTypes.values())
      for (const z of machineType.zones) {
        const r = room.get(z) ?? { types: 0, cpus: 0 };
        r.types++;
        room.set(z, r);
      }
    if (room.size < 2) return null;
    for (const machine of this.state.machines.values()) {
      const r = room.get(machine.zone);
      if (r && !machine.isSpot) r.cpus += this.state.machineTypes.get(machine.machineType)?.cpus ?? 0;
    }
    const sorted = [...room].sort((a, b) => a[1].types - b[1].types || a[1].cpus - b[1].cpus);
    return sorted[0]?.[0] ?? null;
  }

  runPass(now: number): { request: ResourceRequest; count: number }[] {
    this.state.refresh();
    this.exhaustedKeys.clear();
    this.preemption.beginPass();
    this.gangReservations.beginPass();
    this.attemptConflicts.beginPass();
    if (now - this.state.scarceZoneAt > 1000) {
      this.state.scarceZoneAt = now;
      this.state.scarceZone = this.findScarceZone();
    }
    const left: { request: ResourceRequest; count: number }[] = [];
    const refs: (QueuedRequest & { inside: boolean })[] = [];
    const usage = this.state.usage();
    for (const [instanceId, requests] of this.state.requests)
      for (const request of requests)
        if (this.state.isCurrentOwner(instanceId, request.team)) {
          const inside = this.state.isWithinGuarantee(usage.get(request.team), request.team, request);
          refs.push({ request: this.requestInPass(request, inside, now), instanceId: instanceId, inside });
        }
    refs.sort(
      (a, b) =>
        a.request.priority - b.request.priority ||
        Number(b.inside) - Number(a.inside) ||
        a.request.missedObjectives - b.request.missedObjectives ||
        a.request.queuePosition - b.request.queuePosition,
    );
    const list = this.state.freeCapacities(now);
    const scarce = this.state.scarceZone;
    const byImage = new Map<string, FreeCapacity[]>();
    const warmRooms = (image: string): FreeCapacity[] => {
      let l = byImage.get(image);
      if (!l) {
        l = list.filter((capacity) => capacity.images?.has(image));
        byImage.set(image, l);
      }
      return l;
    };
    const placements = new Set<string>();
    for (const machine of this.state.reservedMachines)
      if (machine.reservation) placements.add(machine.reservation.jobId);
    const grants = new Map<string, Grant[]>();
    const wanted = new Set<string>();
    const served = new Set<string>();
    const promised = this.capacitiesBeingFreed(now);
    const ready = this.options.holdsLeadership();
    const kept = [...this.batchProfiles.values()].sort((a, b) => a.request.priority - b.request.priority);
    const place = (
      { request, instanceId }: QueuedRequest,
      count: number,
      capacities: FreeCapacity[],
    ): number => {
      if (!ready || count <= 0) return count;
      const key =
        request.allOrNothing || placements.has(request.jobId)
          ? null
          : `${equivalenceKey(request)}|${capacities === list ? '' : request.image}`;
      if (key !== null && this.exhaustedKeys.has(key)) return count;
      const give = (capacity: FreeCapacity) => {
        const machine = this.state.machines.get(capacity.machineName) as Machine;
        addUsage(usage, request);
        const grant = this.grant(machine, request, now);
        const l = grants.get(instanceId);
        if (l) l.push(grant);
        else grants.set(instanceId, [grant]);
      };
      if (request.allOrNothing) return this.placeGang(capacities, request, count, give);
      const left = fill(capacities, request, count, scarce, give);
      // One that must be spread or joined may have left some for want of a zone, and not of room.
      const none = request.zoneAllowance || request.zoneAffinity ? left === count : left > 0;
      if (key !== null && none && !avoidsAnyMachine(request)) this.exhaustedKeys.add(key);
      return left;
    };
    const finish = (ref: QueuedRequest & { inside: boolean }, count: number): void => {
      const { request } = ref;
      let open = count;
      if (request.isService) {
        // A replica that has to fetch its image is late by far more than one that waits for a task to stop.
        const warm = (capacity: FreeCapacity) => capacity.images?.has(request.image) === true;
        open = place(ref, open, warmRooms(request.image));
        if (open > 0)
          open = fill(promised.filter(warm), request, open, scarce, () => addUsage(usage, request));
        if (open > 0 && ready) open -= this.preemption.preempt(request, open, usage, now, true);
      }
      open = place(ref, open, list);
      if (open < count) {
        this.nothingPlacedSince.delete(request.jobId);
        this.attemptConflicts.onPlaced(request.jobId);
      } else {
        if (!this.nothingPlacedSince.has(request.jobId)) this.nothingPlacedSince.set(request.jobId, now);
        this.attemptConflicts.onUnplaced(request, count, list, now);
      }
      if (open <= 0) return void this.unplacedSince.delete(request.jobId);
      if (request.allOrNothing)
        return void left.push(
          ...this.reserveForGang(ref, open, { capacities: list, expectedCapacities: promised, usage, now }),
        );
      // Room that stops already under way will free is waited for before more is stopped; what comes into it
      // counts as used, or one task's guarantee would be claimed for all.
      const key = `${equivalenceKey(request)}|promised`;
      let waiting = open;
      if (!this.exhaustedKeys.has(key)) {
        waiting = fill(promised, request, open, scarce, () => addUsage(usage, request));
        if (waiting === open && !avoidsAnyMachine(request)) this.exhaustedKeys.add(key);
      }
      if (waiting <= 0) return;
      // Places come free all the time: a moment's wait often saves the work that a stop would lose.
      const since = this.unplacedSince.get(request.jobId) ?? now;
      this.unplacedSince.set(request.jobId, since);
      if (ready && now - since >= this.preemptAfterMs(request, ref.inside))
        waiting -= this.preemption.preempt(request, waiting, usage, now);
      // What room is being freed for needs no machine.
      if (waiting > 0) left.push({ request, count: waiting });
    };
    // Work that can wait goes first where its image is, as long as nothing that can't wait is before it: a fetch keeps
    // a place about as long as a task does. What finds none takes its turn after the others like it.
    let cold: { ref: QueuedRequest & { inside: boolean }; count: number }[] = [];
    let group = '';
    for (const ref of refs) {
      const { request } = ref;
      const next = `${request.priority}${ref.inside}`;
      if (next !== group) {
        for (const c of cold) finish(c.ref, c.count);
        cold = [];
        group = next;
      }
      // Lower work leaves the room that the next job of a class with an aim on waiting will need; not for ever, or it would
      // wait beside free machines where the cloud has no more (seen in a seeded day).
      while (kept.length > 0 && kept[0]!.request.priority < request.priority) {
        const k = kept.shift()!;
        for (const r of refs) {
          const c =
            r.request.isStarved && r.request.priority > k.request.priority
              ? this.openTaskCount(r.request, now)
              : 0;
          if (c > 0) finish(r, c);
          if (c > 0) served.add(r.request.jobId);
        }
        const free: ResourceRequest = {
          ...k.request,
          avoidedMachines: [],
          preferredMachine: '',
          zoneAllowance: null,
        };
        fill(list, free, Math.round(k.meanTaskCount * this.state.policy.reserve_batch), scarce, () => {});
      }
      wanted.add(request.jobId);
      const count = served.has(request.jobId) ? 0 : this.openTaskCount(request, now);
      if (count <= 0) continue;
      if (request.isService || request.allOrNothing || (request.maxWaitSeconds ?? 0) <= 0) finish(ref, count);
      else {
        cold.push({ ref, count: place(ref, count, warmRooms(request.image)) });
      }
    }
    for (const c of cold) finish(c.ref, c.count);
    for (const [instanceId, g] of grants)
      this.options.send(instanceId, { type: 'grants', fencingToken: this.state.fencingToken, grants: g });
    this.gangReservations.endPass(wanted);
    this.attemptConflicts.endPass(wanted);
    for (const job of this.unplacedSince.keys()) if (!wanted.has(job)) this.unplacedSince.delete(job);
    for (const job of this.nothingPlacedSince.keys())
      if (!wanted.has(job)) this.nothingPlacedSince.delete(job);
    this.preemption.endPass(wanted);
    this.endReservations(wanted, now);
    return left;
  }

  /**
   * A gang without room for all of its tasks keeps what there is out of reach of what comes after it; what it lacks is
   * freed of lower work once it has waited, or rented.
   */
  private reserveForGang(
    ref: QueuedRequest & { inside: boolean },
    count: number,
    pass: PlacementPass,
  ): { request: ResourceRequest; count: number }[] {
    const { request } = ref;
    const { capacities, expectedCapacities: promised, usage, now } = pass;
    const { task, missing } = this.gangReservations.reserve(capacities, request, count, now);
    let waiting = fill(promised, task, missing, this.state.scarceZone, () => addUsage(usage, request));
    const since = this.unplacedSince.get(request.jobId) ?? now;
    this.unplacedSince.set(request.jobId, since);
    const mayStop = this.options.holdsLeadership() && now - since >= this.preemptAfterMs(request, ref.inside);
    if (waiting > 0 && mayStop) waiting -= this.preemption.preempt(task, waiting, usage, now);
    return waiting > 0 ? [{ request: task, count: waiting }] : [];
  }

  /** Room that was freed for a job is kept no longer once the job has what it wants, or the time for it is over. */
  private endReservations(wanted: ReadonlySet<string>, now: number): void {
    for (const machine of this.state.reservedMachines) {
      const { reservation: reserved } = machine;
      if (reserved && wanted.has(reserved.jobId) && reserved.until > now) continue;
      if (reserved && wanted.has(reserved.jobId))
        this.log.info({ machine: machine.name, job: reserved.jobId }, 'freed room not used');
      machine.reservation = null;
      this.state.reservedMachines.delete(machine);
    }
  }

  /** How much of a want is open: what its owner has taken in of the grants is no longer wanted by it. */
  private openTaskCount(request: ResourceRequest, now: number): number {
    let count = request.taskCount;
    for (const id of this.state.openGrants.get(request.jobId) ?? []) if (id > request.lastGrantTaken) count--;
    const pause = this.declinedUntil.get(request.jobId);
    if (pause !== undefined) {
      if (pause > now) return 0;
      this.declinedUntil.delete(request.jobId);
    }
    return request.allOrNothing && count < request.taskCount ? 0 : count;
  }

  /** A want as this pass sees it. */
  private requestInPass(request: ResourceRequest, inside: boolean, now: number): ResourceRequest {
    const since = this.nothingPlacedSince.get(request.jobId) ?? now;
    const starved = now - since > STARVED_MS;
    // A worker that lists an ended attempt of a task refuses the next: places taken there came back again and again, each
    // time at the cost of work stopped for it (seen in a seeded day: nothing ended any more).
    const refusedBy = this.attemptConflicts.refusingMachines(request);
    if (!starved && !refusedBy && !(inside && request.maxWaitSeconds)) return request;
    const w: ResourceRequest = { ...request, isStarved: starved };
    // A guarantee is to be had at once, whatever the aim allows.
    if (inside && w.maxWaitSeconds) w.maxWaitSeconds = 0;
    if (refusedBy) w.refusingMachines = refusedBy;
    return w;
  }

  /** Room for all tasks of a gang, or for none. Returns how many were left. */
  private placeGang(
    capacities: FreeCapacity[],
    request: ResourceRequest,
    count: number,
    give: (capacity: FreeCapacity) => void,
  ): number {
    const chosen = this.attemptConflicts.chooseForGang(capacities, request, count, this.state.scarceZone);
    if (!chosen) return count;
    for (const room of chosen) {
      take(room, request);
      give(room);
    }
    return 0;
  }

  private grant(machine: Machine, request: ResourceRequest, now: number): Grant {
    const id = ++this.lastGrantId;
    const allocation = createAllocation(
      {
        jobId: request.jobId,
        taskIndex: -1,
        attempt: 0,
        machine: machine.name,
        agentEpoch: machine.agentEpoch,
        desiredState: 'run',
        gracePeriodSeconds: 0,
        team: request.team,
        priority: request.priority,
        isGang: request.allOrNothing,
        isService: request.isService,
        cpus: request.cpus,
        gpus: request.gpus,
        memoryGb: request.memoryGb,
        image: request.image,
        imageGb: request.imageGb,
        estimatedRunSeconds: request.estimatedRunSeconds,
        machineTypes: request.machineTypes,
        spreadOverZones: request.zoneAllowance !== null,
        grantId: id,
      },
      now,
    );
    allocation.key = `grant#${id}`;
    allocation.desiredState = 'hold';
    machine.allocations.set(allocation.key, allocation);
    this.state.markChanged(machine);
    this.state.grantMachines.set(id, machine);
    const ids = this.state.openGrants.get(request.jobId);
    if (ids) ids.add(id);
    else this.state.openGrants.set(request.jobId, new Set([id]));
    const endedTasks = machine.endedTasks.get(request.jobId)?.tasks;
    return {
      id,
      jobId: request.jobId,
      team: request.team,
      machine: machine.name,
      zone: machine.zone,
      agentEpoch: machine.agentEpoch,
      ...(endedTasks && { endedTasks: [...endedTasks] }),
    };
  }

  /** Room that will be free once the tasks being stopped are gone. */
  private capacitiesBeingFreed(now: number): FreeCapacity[] {
    const out: FreeCapacity[] = [];
    for (const machine of this.state.machinesWithStops) {
      if (
        machine.isBeingDeleted ||
        machine.isQuarantined ||
        machine.evictionDeadline !== null ||
        now - lastProofOfLife(machine) >= 10000
      )
        continue;
      const capacity = this.state.capacityOf(machine, now);
      if (!capacity) continue;
      const s = machine.totals.stopping;
      capacity.cpus += s.cpus;
      capacity.gpus += s.gpus;
      capacity.memoryGb += s.memoryGb;
      capacity.penaltySeconds = 0;
      capacity.reservation = null;
      out.push(capacity);
    }
    return out;
  }

  /** How long work waits for places to come free by themselves before others are stopped for it. */
  private preemptAfterMs(request: ResourceRequest, inside: boolean): number {
    if (request.isService) return 0;
    const aims = [this.waitObjectiveSeconds.get(request.jobClass) ?? Number.POSITIVE_INFINITY];
    if (inside) aims.push(this.guaranteeObjectiveSeconds);
    const aim = Math.min(...aims);
    if (Number.isFinite(aim)) return aim * 1000 * PREEMPT_AFTER_SHARE;
    return Math.min(5, request.maxWaitSeconds ?? 0) * 1000;
  }
}
