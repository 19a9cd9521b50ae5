import { expect, test } from 'vitest';
import { CLUSTER_CONFIG } from './simulation/cluster-config.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

// What happens: a gang's attempt ends before it has begun. Its tasks were started by direct commands, so their machines go on
// listing them as ended until a higher token (a late repeat of the command must find them). The next attempt gives the tasks
// to machines anew, some meet the machine that lists their own ended attempt, and it refuses them as `busy`. One refusal ends
// the attempt, and 76 of 80 tasks are left behind as ended on still more machines.
//
// What showed it: seed 2 of "as all controllers go" in gangs.test.ts. 28 attempts from 46 s to 163 s, each with 4 to 44 tasks
// refused, all others stopped; only machines with a `busy` line were passed over, and most of those were met for the first time;
// attempts 10 and 20 began 3 s after a higher token, before its leader had removed anything.
//
// A seed draws the gang, the fleet and the trouble. By hand: FROM=1 SEEDS=1000.

/** Seeds whose gang was not done, or not in time, before the mend. */
const FOUND = [52, 271, 317, 327, 340, 388];
const { FROM, SEEDS } = process.env;
const drawn = Array.from({ length: Number(SEEDS ?? 16) }, (_, i) => Number(FROM ?? 1) + i);
const days = FROM ? drawn : [...FOUND, ...drawn];

const STARTS_WITHIN_MS = 240_000;
const RUN_MS = 6000;
/** Tokens taken once the troubles are over: one for a trouble that ends after them, one for ended attempts in the way. */
const MOST_TOKENS = 2;

type Phase = 'fetching' | 'waiting' | 'running' | 'saving';

/** One gang in a deployment drawn by the seed. */
class GangDay {
  readonly world: ClusterSimulation;
  readonly gang: string;
  private readonly records: number;

  constructor(readonly seed: number) {
    const types = [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 8 }];
    const teams = [{ name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }];
    this.world = new ClusterSimulation(seed, {
      ...CLUSTER_CONFIG,
      maxTransactionOperations: 4,
      maxValueKb: 1,
      machineCapacity: 40,
      teams,
      machineTypes: types,
    });
    // No machine on which everything fails.
    this.world.faultyMachines.add = () => this.world.faultyMachines;
    const { simulator } = this.world;
    const tasks = simulator.pick([2, 5, 20, 40, 80, 80]);
    const spec = makeJobSpec(this.world, {
      kind: 'gang',
      priority: 2,
      taskCount: tasks,
      cpus: tasks <= 5 ? 4 : 1,
      memoryGb: 0.5,
      spotAllowed: false,
      zoneAffinity: simulator.chance(0.3),
      imageGb: simulator.pick([0.1, 2, 8]),
      checkpointIntervalSeconds: 1,
      checkpointSaveSeconds: 2,
    });
    this.gang = spec.id;
    this.records = Math.ceil(tasks / 16);
    this.world.runDurationMs = (id) => (id === spec.id ? RUN_MS : 4000);
    this.world.users.submitJob(spec);
  }

  stored(): number {
    const prefix = `place/${this.gang}/`;
    return [...this.world.store.records.keys()].filter((key) => key.startsWith(prefix)).length;
  }

  /** Machines with a task of the gang in this phase. */
  machinesIn(phase: Phase): string[] {
    return [...this.world.workers.values()]
      .filter((worker) => worker.tasks.some((task) => task.jobId === this.gang && task.phase === phase))
      .map((worker) => worker.name);
  }

  /** Runs until this holds, or the gang is done. */
  until(holds: () => boolean, ms = 90_000): boolean {
    const { simulator, jobs } = this.world;
    const end = simulator.now + ms;
    while (simulator.now < end && jobs.get(this.gang)?.reportedState !== 'done') {
      if (holds()) return true;
      simulator.run(simulator.now + 1);
    }
    return false;
  }

  untilStored(records: number): boolean {
    return this.until(() => this.stored() >= Math.min(records, this.records));
  }

  leader(): string {
    const { nodeNames, controllers } = this.world;
    return (
      nodeNames.find((nodeName) => controllers.get(nodeName)?.controller.status().scheduler) ?? nodeNames[0]!
    );
  }

  owner(): string {
    const { nodeNames, controllers } = this.world;
    return (
      nodeNames.find((nodeName) =>
        (controllers.get(nodeName)!.controller.status().teams as string[]).includes('red'),
      ) ?? nodeNames[0]!
    );
  }

  /** The newest fencing token that any worker has seen. */
  token(): number {
    return Math.max(0, ...[...this.world.workers.values()].map((worker) => worker.fencingToken));
  }

  killAll(): void {
    for (const nodeName of this.world.nodeNames) this.world.controllers.crash(nodeName, 2000);
  }

  /** A machine of the gang goes for good, or hangs for a while. */
  loseIn(phase: Phase): void {
    if (!this.until(() => this.machinesIn(phase).length > 0)) return;
    const { simulator, workers } = this.world;
    const name = simulator.pick(this.machinesIn(phase));
    if (simulator.chance(0.5)) return this.world.machines.destroy(name);
    const worker = workers.get(name)!;
    worker.isHung = true;
    simulator.scheduleAfter(15_000, () => {
      worker.isHung = false;
    });
  }

  /** Urgent work has the gang stopped, which saves; a machine goes as it does. */
  loseSaving(): void {
    this.world.runDurationMs = (id) => (id === this.gang ? 30_000 : 4000);
    if (!this.until(() => this.machinesIn('running').length > 0)) return;
    this.world.users.submitJob(
      makeJobSpec(this.world, { priority: 1, taskCount: 200, cpus: 4, memoryGb: 1, spotAllowed: false }),
    );
    this.loseIn('saving');
    this.world.runDurationMs = (id) => (id === this.gang ? RUN_MS : 4000);
  }
}

const TROUBLES: Record<string, (day: GangDay) => void> = {
  'the owner goes between two transactions': (day) => {
    day.untilStored(1);
    day.world.controllers.crash(day.owner(), 3000);
  },
  'the leader goes between two transactions': (day) => {
    day.untilStored(1);
    day.world.controllers.crash(day.leader(), 3000);
  },
  'the state service goes between two transactions': (day) => {
    day.untilStored(1);
    day.world.store.setDown(true);
    day.world.simulator.scheduleAfter(12_000, () => day.world.store.setDown(false));
  },
  'all controllers go after the first transaction': (day) => {
    day.untilStored(1);
    day.killAll();
  },
  'all controllers go after the second transaction': (day) => {
    day.untilStored(2);
    day.killAll();
  },
  'all controllers go after the third transaction': (day) => {
    day.untilStored(3);
    day.killAll();
  },
  'all controllers go after the fourth transaction': (day) => {
    day.untilStored(4);
    day.killAll();
  },
  'the leader stands still': (day) => {
    day.untilStored(1);
    day.world.controllers.pause(day.leader(), 8000);
  },
  'it loses a machine while it fetches': (day) => day.loseIn('fetching'),
  'it loses a machine while it waits': (day) => day.loseIn('waiting'),
  'it loses a machine while it runs or saves': (day) => {
    if (day.seed % 2 === 0) day.loseIn('running');
    else day.loseSaving();
  },
};
const NAMES = Object.keys(TROUBLES);

test.each(days.map((seed) => [seed, NAMES[seed % NAMES.length]!] as const))(
  'gang %i begins beside free machines however often its attempts ended: %s',
  (seed, trouble) => {
    const day = new GangDay(seed);
    const { world: simulation } = day;
    for (let times = simulation.simulator.pick([1, 1, 2, 3]); times > 0; times--) {
      TROUBLES[trouble]!(day);
      simulation.simulator.run(simulation.simulator.now + 5000);
    }
    simulation.faultsEndAt = simulation.simulator.now;
    const before = day.token();
    simulation.simulator.run(simulation.simulator.now + STARTS_WITHIN_MS);
    expect(simulation.violations).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    // Each refusal ends an attempt and stops all its tasks; each token costs a new leader's beginning.
    expect(simulation.machines.refusals.attemptListed).toBe(0);
    expect(day.token() - before).toBeLessThanOrEqual(MOST_TOKENS);
  },
  120_000,
);
