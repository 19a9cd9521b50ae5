/** Measures how fast machines run their tasks, and quarantines those that are far too slow. */

import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/**
 * Weights of the newest run and of the previous mean, which covers all earlier runs, in the moving mean of a
 * machine's slowdown.
 */
const NEWEST_RUN_WEIGHT = 0.3;
const EARLIER_RUNS_WEIGHT = 0.7;
/**
 * Number of measured runs from which a machine's mean slowdown counts toward the median of the fleet, and
 * number from which the machine can be quarantined.
 */
const MIN_RUNS_FOR_MEDIAN = 3;
const MIN_RUNS_TO_QUARANTINE = 4;
/** With this many measured machines or fewer, their median is not meaningful. */
const MAX_MACHINES_WITHOUT_MEDIAN = 3;
/** A machine is quarantined when its mean slowdown exceeds this multiple of the median. */
const QUARANTINE_SLOWDOWN_RATIO = 2.5;
/** Computing the median scans the whole fleet, so the result is cached for this long. */
const MEDIAN_MAX_AGE_MS = 3000;

/** Compares each machine's mean slowdown with the median of the fleet. */
export class SlowMachineDetector {
  private median = { computedAt: Number.NEGATIVE_INFINITY, value: 0 };

  constructor(
    private readonly options: Pick<SchedulerOptions, 'clock' | 'log'>,
    private readonly state: ClusterState,
  ) {}

  /** Records a completed run. `slowdown`: the run time of the task divided by its estimate. */
  record(machine: Machine, slowdown: number): void {
    const { speed } = machine;
    speed.runs++;
    speed.meanSlowdown =
      speed.runs === 1 ? slowdown : speed.meanSlowdown * EARLIER_RUNS_WEIGHT + slowdown * NEWEST_RUN_WEIGHT;
    if (speed.runs < MIN_RUNS_TO_QUARANTINE || machine.isQuarantined) return;
    const median = this.medianSlowdown();
    if (median <= 0 || speed.meanSlowdown <= median * QUARANTINE_SLOWDOWN_RATIO) return;
    machine.isQuarantined = true;
    this.options.log.info(
      { machine: machine.name, meanSlowdown: speed.meanSlowdown, medianSlowdown: median },
      'machine quarantined: far slower than its peers',
    );
  }

  /** The median of the machines' mean slowdowns; 0 while too few machines are measured. */
  private medianSlowdown(): number {
    const now = this.options.clock.now();
    if (now - this.median.computedAt > MEDIAN_MAX_AGE_MS) {
      const slowdowns = [...this.state.machines.values()]
        .filter((machine) => machine.speed.runs >= MIN_RUNS_FOR_MEDIAN)
        .map((machine) => machine.speed.meanSlowdown);
      slowdowns.sort((a, b) => a - b);
      const hasEnoughMachines = slowdowns.length > MAX_MACHINES_WITHOUT_MEDIAN;
      this.median = {
        computedAt: now,
        value: hasEnoughMachines ? (slowdowns[slowdowns.length >> 1] ?? 0) : 0,
      };
    }
    return this.median.value;
  }
}
