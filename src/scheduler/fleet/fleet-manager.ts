import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import type { ClusterState, SchedulerOptions } from '../cluster-state.js';
import { type Allocation, lastProofOfLife, type Machine, usesCapacity } from '../machine.js';
import { bootingCapacities } from '../placement/booting-capacity.js';
import { emptyCapacity, type FreeCapacity, fill, fits, isAllowed } from '../placement/free-capacity.js';
import {
  cheapestOffer,
  OBJECTIVE_MARGIN,
  type PricingInput,
  planRentals,
  type Rental,
} from './rental-planner.js';

/** Moves of replicas earned at each look for machines to empty, per running replica, and most saved up. */
const MOVES_PER_REPLICA = 0.004;
const MAX_MOVE_CREDIT = 8;
/** Machines looked at for emptying at a time. */
const MAX_DRAIN_CANDIDATES = 60;
/** So long after work was last short of places ordinary machines are still left to it. */
const SHORTAGE_HOLD_MS = 10000;
/** Others come for places that come free: part of a boot time within which one is counted on. */
const BOOT_TIME_SHARE = 0.7;
/** How far ahead places that come free are counted on. */
const MAX_WAIT_SECONDS = 120;

/** Which machines to rent, to empty and to return. */
export class FleetManager {
  private rentalsInFlight = new Map<string, Rental>();
  private claimCount = 0;
  private nextConsolidationAt = 0;
  private nextLogAt = 0;
  private moveCredit = 0;
  /** What became of the machines looked at for emptying: for the log. */
  private lastConsolidation: Record<string, number> = {};
  /** Replicas on silent machines that have no room elsewhere yet. */
  readonly replicasToReplace = new Map<string, ResourceRequest[]>();

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly remove: (machine: Machine, reason: string) => void,
  ) {}

  private rent(rental: Rental): void {
    const claim = `${this.options.instanceId}-${this.state.fencingToken}-${++this.claimCount}`;
    this.rentalsInFlight.set(claim, rental);
    this.options.log.info({ claim, ...rental }, 'machines asked for');
    let tries = 0;
    const ask = () => {
      this.options.cloud.rentMachines({ claim, ...rental }, (res) => {
        const now = this.options.clock.now();
        if (res.ok) {
          this.rentalsInFlight.delete(claim);
          for (const name of res.value) {
            if (this.state.deletedMachines.has(name)) continue;
            const machine = this.state.machine(name);
            if (machine.machineType === '') {
              machine.machineType = rental.machineType;
              machine.zone = rental.zone;
              machine.isSpot = rental.isSpot;
              machine.rentedAt = now;
            }
          }
          if (res.value.length < rental.count) this.state.rentalBackoff.onRefused(rental, now);
          else this.state.rentalBackoff.onFilled(rental);
          this.options.log.debug({ claim, got: res.value.length }, 'machines rented');
        } else if (res.kind === 'notFound') {
          this.rentalsInFlight.delete(claim);
          this.state.rentalBackoff.onRefused(rental, now);
          this.options.log.debug({ claim, ...rental }, 'no capacity');
        } else if (res.kind === 'invalid' || ++tries >= 6) this.rentalsInFlight.delete(claim);
        // The same claim again: what was rented under it is answered, and nothing more is rented.
        else
          this.options.clock.after(1000 * tries, () =>
            this.options.holdsLeadership() ? ask() : this.rentalsInFlight.delete(claim),
          );
        this.state.isDirty = true;
        this.options.wake();
      });
    };
    ask();
  }

  /** Phantom wants: room that the next replicas of services should find at once. */
  private reserveDemand(): { request: ResourceRequest; count: number }[] {
    const shapes = [...this.state.serviceProfiles.values()].sort((a, b) => b.at - a.at);
    const first = shapes[0];
    if (!first || this.state.policy.reserve_replicas <= 0) return [];
    const n = Math.ceil(this.state.policy.reserve_replicas);
    const base: ResourceRequest = {
      ...first.request,
      jobId: '',
      zone: null,
      machineTypes: null,
      avoidedMachines: [],
      preferredMachine: '',
      image: '',
      imageGb: 0,
    };
    const spread = shapes.find((s) => s.request.zoneAllowance)?.request;
    if (!spread) return [{ request: { ...base, zoneAllowance: null }, count: n }];
    const zones = new Set<string>();
    for (const machineType of this.options.machineTypes()) for (const z of machineType.zones) zones.add(z);
    const per = Math.max(1, Math.ceil(n / Math.max(1, zones.size)));
    return [...zones].map((zone) => ({
      request: { ...base, zone, zoneAllowance: {}, maxTasksPerZone: per },
      count: per,
    }));
  }

  /** Places with their image that the replicas of services will want next: their part of the reserve. */
  private warmDemand(now: number): { request: ResourceRequest; n: number }[] {
    const running = new Map<string, number>();
    for (const machine of this.state.machines.values()) {
      if (machine.totals.replicas === 0) continue;
      for (const allocation of machine.allocations.values())
        if (allocation.isService && usesCapacity(allocation))
          running.set(allocation.image, (running.get(allocation.image) ?? 0) + 1);
    }
    const out: { request: ResourceRequest; n: number }[] = [];
    for (const s of this.state.serviceProfiles.values()) {
      if (now - s.at > 600000) continue;
      const part = (running.get(s.request.image) ?? 0) / Math.max(1, this.state.totals.services);
      out.push({ request: s.request, n: Math.max(1, Math.ceil(this.state.policy.reserve_replicas * part)) });
    }
    return out;
  }

  /** How many of them no room has: such replicas would wait for a fetch. */
  private coldReplicas(
    capacities: FreeCapacity[],
    wanted: { request: ResourceRequest; n: number }[],
  ): number {
    let cold = 0;
    for (const { request, n } of wanted) {
      let warm = 0;
      for (const capacity of capacities) {
        if (!capacity.isSpot && capacity.images?.has(request.image)) warm += slotsIn(capacity, request);
        if (warm >= n) break;
      }
      cold += Math.max(0, n - warm);
    }
    return cold;
  }

  scaleFleet(now: number, left: { request: ResourceRequest; count: number }[]): void {
    const types = this.options.machineTypes();
    if (types.length === 0 || !this.options.holdsLeadership()) return;
    const byName = this.state.machineTypes;
    const coming = bootingCapacities(this.state, now);
    for (const rental of this.rentalsInFlight.values()) {
      const machineType = byName.get(rental.machineType);
      if (machineType)
        for (let k = 0; k < rental.count; k++)
          coming.push(emptyCapacity(machineType, rental.zone, rental.isSpot, ''));
    }
    const scarce = this.state.scarceZone;
    // The reserve may lie in room that lower work uses now and would be stopped for.
    const capacities = this.state.preemptibleCapacities(now);
    // Services whose room lower work will make are not rented for; that work may be.
    const open = left
      .map((l) =>
        l.request.isService ? { ...l, count: fill(capacities, l.request, l.count, scarce, () => {}) } : l,
      )
      .filter((l) => l.count > 0);
    const spare = new Set<string>();
    const phantom = this.reserveDemand()
      .map((x) => ({
        request: x.request,
        count: fill(capacities, x.request, x.count, scarce, (capacity) => spare.add(capacity.machineName)),
      }))
      .filter((x) => x.count > 0);
    this.state.reserveMachines = spare;
    for (const name of this.replicasToReplace.keys())
      if (!this.state.machines.has(name) || now - lastProofOfLife(this.state.machines.get(name)!) < 3000)
        this.replicasToReplace.delete(name);
    const rescued = [...this.replicasToReplace.values()]
      .flat()
      .map((request) => ({ request: request, count: 1 }));
    const short = this.withoutWaitable(open, now);
    // As long as work is short of places, ordinary machines that are there are used, and not left to run empty.
    if (short.some((x) => !x.request.isService && x.request.spotAllowed))
      this.state.shortageUntil = now + SHORTAGE_HOLD_MS;
    const need = [...short, ...rescued, ...phantom, ...this.spotReplacementDemand(now)];
    // A new scheduler lets the list, the reports and the owners speak first.
    const settled =
      this.options.isFirstEver ||
      (this.state.machinesListed && now - this.state.startedAt > this.options.machineListLagSeconds * 1000);
    if (need.length > 0 && settled && this.state.allSynced()) {
      const plan = planRentals({
        unplaced: need,
        expectedCapacities: coming,
        ...this.pricing(now),
        maxCalls: Math.max(2, Math.floor(this.options.cloudCallsPerSecond)),
      });
      for (const rental of plan) this.rent(rental);
    }
    this.returnIdle(now, left);
  }

  private pricing(now: number): PricingInput {
    const cut = this.state.cutZones;
    const types = this.options.machineTypes();
    return {
      // What is rented in a zone that is cut off can't be reached.
      machineTypes:
        cut.size === 0
          ? types
          : types.map((machineType) => ({
              ...machineType,
              zones: machineType.zones.filter((z) => !cut.has(z)),
            })),
      rentalBackoff: this.state.rentalBackoff,
      now,
      amortizationSeconds: this.state.policy.amortize_s,
      serviceAmortizationSeconds: this.state.policy.amortize_service_s,
      scarceZone: this.state.scarceZone,
    };
  }

  /**
   * Work that running tasks will make room for soon enough needs no machine. Places come free as estimates say, each is
   * taken by the first want that can wait for it, and comes free again when that one's task has run.
   */
  private withoutWaitable(
    left: { request: ResourceRequest; count: number }[],
    now: number,
  ): { request: ResourceRequest; count: number }[] {
    // By rank: what higher work frees will be taken by its own next.
    const freed = [0, 1, 2, 3].map(() => new Float64Array(MAX_WAIT_SECONDS + 1));
    const put = (rank: number, inS: number, cpus: number) => {
      const k = Math.max(0, Math.ceil(inS));
      if (k <= MAX_WAIT_SECONDS) freed[rank]![k]! += cpus;
    };
    for (const machine of this.state.machines.values()) {
      if (machine.totals.batchTasks === 0 || machine.isBeingDeleted || machine.evictionDeadline !== null)
        continue;
      for (const allocation of machine.allocations.values()) {
        if (allocation.isService || !usesCapacity(allocation) || allocation.estimatedRunSeconds <= 0)
          continue;
        const running = allocation.reported?.phase === 'running';
        const left = running
          ? allocation.estimatedRunSeconds - (now - allocation.phaseSince) / 1000
          : allocation.estimatedRunSeconds + this.state.imageFetchSeconds(allocation) / 2;
        // One that has outrun its estimate is likely to go on for a part of it.
        put(allocation.priority, Math.max(left, allocation.estimatedRunSeconds * 0.3), allocation.cpus);
      }
    }
    const out: { request: ResourceRequest; count: number }[] = [];
    for (const { request, count } of left) {
      let open = count;
      if (!request.isService && !request.allOrNothing && request.cpus > 0 && request.spotAllowed) {
        // A place that comes free before a machine rented now would be up is as good as that machine.
        const at = cheapestOffer(this.pricing(now), request, open);
        const boot = at
          ? at.type.bootSeconds + request.imageGb / Math.max(0.01, at.type.imageFetchGbPerSecond)
          : 0;
        // An ordinary machine costs several times a cheap one: not before the aim itself is in danger.
        // Either way there must be time left to rent when waiting fails.
        const margin = (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN;
        const last =
          at && !at.spot && request.slackSeconds !== null
            ? request.slackSeconds - margin / 2 - 1.2 * request.estimatedRunSeconds - 1.5 * boot
            : (request.maxWaitSeconds ?? 0) - boot;
        const patience = Math.max(this.state.policy.patience_s, boot * BOOT_TIME_SHARE, last);
        const until = Math.min(MAX_WAIT_SECONDS, patience);
        for (let k = 0; k <= until && open > 0; k++)
          for (let rank = 3; rank >= request.priority && open > 0; rank--) {
            const f = freed[rank]!;
            const n = Math.min(open, Math.floor(f[k]! / request.cpus + 1e-9));
            if (n <= 0) continue;
            open -= n;
            f[k]! -= n * request.cpus;
            put(request.priority, k + Math.max(1, request.estimatedRunSeconds), n * request.cpus);
          }
      }
      if (open > 0) out.push({ request: request, count: open });
    }
    return out;
  }

  /**
   * Work on ordinary machines that are there for it alone, as a want that only cheap ones serve: when some are to be
   * had, it moves there task by task and the ordinary ones run empty.
   */
  private spotReplacementDemand(now: number): { request: ResourceRequest; count: number }[] {
    let cpus = 0;
    for (const machine of this.state.machines.values()) {
      if (
        machine.isSpot ||
        machine.isBeingDeleted ||
        machine.totals.replicas > 0 ||
        this.state.reserveMachines.has(machine.name)
      )
        continue;
      if (machine.isUp) cpus += machine.totals.batch.cpus;
    }
    for (const machine of this.state.machinesWithCapacity)
      if (machine.isSpot && this.state.isUsable(machine, now)) cpus -= machine.totals.free.cpus;
    let shape: ResourceRequest | null = null;
    for (const l of this.state.requests.values())
      for (const request of l)
        if (
          request.spotAllowed &&
          !request.isService &&
          !request.allOrNothing &&
          (!shape || request.cpus > shape.cpus)
        )
          shape = request;
    if (!shape || cpus < shape.cpus) return [];
    const request: ResourceRequest = {
      ...shape,
      jobId: '',
      avoidedMachines: [],
      preferredMachine: '',
      machineTypes: null,
      slackSeconds: null,
      spotOnly: true,
    };
    return [{ request, count: Math.floor(cpus / shape.cpus) }];
  }

  private returnIdle(now: number, left: { request: ResourceRequest; count: number }[]): void {
    if (!this.state.allSynced() || now - this.state.startedAt < 5000) return;
    this.state.refresh();
    const input = this.state.policyInput();
    const idleMs = new Map(
      [...this.state.machineTypes.values()].map((machineType) => [
        machineType.name,
        this.options.policy({ ...input, boot_s: machineType.bootSeconds }).idle_s * 1000,
      ]),
    );
    const idle = new Map<string, Machine>();
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted) continue;
      const t = this.state.machineTypes.get(machine.machineType);
      if (!machine.isUp) {
        const patience = (t?.bootSeconds ?? 30) * 1000 * this.state.policy.boot_patience;
        // Up under an earlier scheduler and not heard by this one: behind a cut, or on its way here.
        if (machine.listedAsRunning && now - machine.heardAt < this.options.workerTiming.leaseSeconds * 1000)
          continue;
        if (
          now - machine.rentedAt > patience &&
          now - this.state.startedAt > this.options.workerTiming.heartbeatIntervalSeconds * 4000 &&
          machine.allocations.size === 0 &&
          now - machine.heardAt > 10000
        )
          this.remove(machine, 'did not come up in time');
        continue;
      }
      if (machine.totals.unfinishedTasks > 0) continue;
      if ([...machine.tasks.values()].some((x) => x.phase !== 'exited')) continue;
      if (machine.isQuarantined || machine.isDraining || machine.evictionDeadline !== null) {
        this.remove(machine, 'empty, and not used any more');
        continue;
      }
      if (this.state.gatheredMachines.has(machine.name)) continue;
      const idleFor = idleMs.get(machine.machineType) ?? 60000;
      const surplus =
        !machine.isSpot && !this.state.reserveMachines.has(machine.name) && now > this.state.shortageUntil;
      if (now - machine.idleSince >= (surplus ? idleFor / 2 : idleFor)) idle.set(machine.name, machine);
    }
    if (idle.size === 0) return;
    for (const machine of idle.values()) {
      const t = this.state.machineTypes.get(machine.machineType);
      const capacity = t ? emptyCapacity(t, machine.zone, machine.isSpot, machine.name) : null;
      if (capacity && left.some((l) => fits(capacity, l.request) && isAllowed(capacity, l.request)))
        idle.delete(machine.name);
    }
    // The reserve takes idle machines last; those that it needs all the same are kept.
    const capacities = this.state.preemptibleCapacities(now);
    for (const capacity of capacities) if (idle.has(capacity.machineName)) capacity.penaltySeconds += 1000;
    const keep = (capacity: FreeCapacity) => void idle.delete(capacity.machineName);
    const plain = capacities.map((capacity) => ({ ...capacity }));
    for (const { request, n } of this.warmDemand(now)) {
      const warm = plain.filter((r) => !r.isSpot && r.images?.has(request.image) && fits(r, request));
      let have = 0;
      for (const r of warm) if (!idle.has(r.machineName)) have += slotsIn(r, request);
      for (const r of warm) {
        if (have >= n) break;
        if (!idle.has(r.machineName)) continue;
        have += slotsIn(r, request);
        keep(r);
      }
    }
    // What is kept for its image serves the reserve as well.
    for (const capacity of capacities)
      if (capacity.penaltySeconds >= 1000 && !idle.has(capacity.machineName)) capacity.penaltySeconds -= 1000;
    for (const x of this.reserveDemand()) fill(capacities, x.request, x.count, this.state.scarceZone, keep);
    for (const machine of idle.values()) this.remove(machine, 'idle');
  }

  /**
   * Replicas move together when that empties a machine: one at a time, to room that is free now, with their image
   * there, and only replicas that have run for a while.
   */
  consolidate(now: number): void {
    if (
      now < this.nextConsolidationAt ||
      !this.options.holdsLeadership() ||
      !this.state.allSynced() ||
      now - this.state.startedAt < 30000
    )
      return;
    this.nextConsolidationAt = now + 3000;
    for (const requests of this.state.requests.values())
      if (requests.some((request) => request.isService)) return;
    const all: { m: Machine; moves: Allocation[]; gain: number }[] = [];
    let going = 0;
    for (const machine of this.state.machines.values()) {
      if (machine.isDraining) {
        if (machine.totals.unfinishedTasks > 0) going++;
        continue;
      }
      const machineType = this.state.machineTypes.get(machine.machineType);
      if (
        !machineType ||
        machine.isSpot ||
        machine.totals.replicas === 0 ||
        machine.totals.free.cpus <= 1e-9 ||
        !this.state.isUsable(machine, now)
      )
        continue;
      const moves = [...machine.allocations.values()].filter(
        (allocation) => allocation.isService && usesCapacity(allocation),
      );
      if (
        moves.some(
          (allocation) =>
            allocation.desiredState !== 'run' ||
            allocation.reported?.phase !== 'running' ||
            now - allocation.phaseSince < 35000,
        )
      )
        continue;
      // One that holds many images is worth more as a place for the next replicas.
      all.push({
        m: machine,
        moves,
        gain: machineType.hourlyPrice / moves.length / (1 + machine.images.size / 10),
      });
    }
    all.sort((a, b) => b.gain - a.gain);
    // Each move costs a replica a moment: no more of them than users would notice.
    this.moveCredit = Math.min(
      MAX_MOVE_CREDIT,
      this.moveCredit + this.state.totals.services * MOVES_PER_REPLICA,
    );
    if (going >= Math.ceil(this.state.machines.size / 60)) return;
    // Lower work is stopped for them if need be: it is cheaper to run elsewhere.
    let free = this.state.preemptibleCapacities(now).filter((capacity) => !capacity.isSpot);
    const wanted = this.warmDemand(now);
    let cold = this.coldReplicas(free, wanted);
    const taken = new Set<string>();
    const reason = { machines: all.length, room: 0, reserve: 0, cold: 0, moved: 0 };
    this.lastConsolidation = reason;
    for (const { m: machine, moves } of all.slice(0, MAX_DRAIN_CANDIDATES)) {
      if (taken.has(machine.name) || moves.length > this.moveCredit) continue;
      const capacities = free
        .filter((capacity) => capacity.machineName !== machine.name)
        .map((capacity) => ({ ...capacity }));
      const to: string[] = [];
      const fit = moves.every((allocation) => {
        const here = capacities.filter(
          (r) =>
            r.zone === machine.zone &&
            r.images?.has(allocation.image) &&
            (!allocation.machineTypes || allocation.machineTypes.includes(r.machineType)),
        );
        const request: ResourceRequest = {
          ...this.requestForReplica(allocation, machine),
          zone: machine.zone,
          zoneAllowance: {},
        };
        return fill(here, request, 1, null, (capacity) => to.push(capacity.machineName)) === 0;
      });
      if (!fit) {
        reason.room++;
        continue;
      }
      const after = capacities.map((r) => ({ ...r }));
      if (
        this.reserveDemand().some((x) => fill(after, x.request, x.count, this.state.scarceZone, () => {}) > 0)
      ) {
        reason.reserve++;
        continue;
      }
      const then = this.coldReplicas(capacities, wanted);
      if (then > cold) {
        reason.cold++;
        continue;
      }
      cold = then;
      reason.moved++;
      machine.isDraining = true;
      this.options.log.info(
        { machine: machine.name, type: machine.machineType, replicas: moves.length },
        'replicas move to empty a machine',
      );
      this.state.requestEvictions(moves, now, `${machine.name} is emptied`);
      this.moveCredit -= moves.length;
      free = capacities;
      for (const name of to) taken.add(name);
    }
  }

  /**
   * An ordinary silent machine is left its lease when the replicas on it would find no room elsewhere: they may
   * well be running behind a cut, and deleting them frees nothing. Room for them is rented meanwhile.
   */
  keepsUnreachable(machine: Machine, capacities: FreeCapacity[], now: number): boolean {
    this.replicasToReplace.delete(machine.name);
    // In a zone that is cut off replicas may be kept alive from inside, and could go nowhere else: until they are dead
    // in any case, deleting their machine only ends them (seen on rekrut-szkoly-fleet, zone).
    if (!machine.isSpot && machine.totals.replicas > 0 && this.state.cutZones.has(machine.zone))
      return (
        now - Math.max(lastProofOfLife(machine), this.state.startedAt) <=
        this.options.workerTiming.cancellationSeconds * 1000
      );
    if (
      machine.isSpot ||
      now - Math.max(lastProofOfLife(machine), this.state.startedAt) >
        this.options.workerTiming.leaseSeconds * 1000
    )
      return false;
    const requests = [...machine.allocations.values()]
      .filter((allocation) => allocation.isService && usesCapacity(allocation))
      .map((allocation) => this.requestForReplica(allocation, machine));
    const without = requests.filter((request) => fill(capacities, request, 1, null, () => {}) > 0);
    if (without.length === 0) return false;
    this.replicasToReplace.set(machine.name, without);
    return true;
  }

  /** A running replica as a want of its own, in its zone if that zone is the scarce one. */
  private requestForReplica(allocation: Allocation, machine: Machine): ResourceRequest {
    const tied = this.state.scarceZone === machine.zone;
    return {
      ...this.state.requestLike(allocation),
      zone: tied ? machine.zone : null,
      zoneAllowance: tied ? {} : null,
    };
  }

  /** What the fleet is made of, for operators. */
  logFleet(now: number): void {
    if (now < this.nextLogAt) return;
    this.nextLogAt = now + 30000;
    const kinds: Record<
      string,
      { machines: number; up: number; cpus: number; services: number; batch: number }
    > = {};
    for (const machine of this.state.machines.values()) {
      const key = `${machine.machineType}/${machine.zone}${machine.isSpot ? '/spot' : ''}`;
      kinds[key] ??= { machines: 0, up: 0, cpus: 0, services: 0, batch: 0 };
      const k = kinds[key];
      k.machines++;
      if (!machine.isUp) continue;
      k.up++;
      k.cpus += this.state.machineTypes.get(machine.machineType)?.cpus ?? 0;
      k.services += machine.totals.replicaCpus;
      k.batch += machine.totals.batch.cpus;
    }
    this.options.log.info(
      {
        kinds,
        moves: this.lastConsolidation,
        wants: [...this.state.requests.values()].reduce((n, l) => n + l.length, 0),
      },
      'fleet',
    );
  }
}
