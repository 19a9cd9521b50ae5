/** How fast machines run their tasks, and which are so slow that they get no more work. */

import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** Weight of the newest run in a machine's moving mean. */
const NEWEST_RUN_WEIGHT = 0.3;
const EARLIER_RUNS_WEIGHT = 0.7;
/** Runs after which a machine's mean counts towards the median, and after which the machine itself is judged. */
const MIN_RUNS_FOR_MEDIAN = 3;
const MIN_RUNS_TO_JUDGE = 4;
/** The median of no more machines than this says nothing. */
const MAX_MACHINES_WITHOUT_MEDIAN = 3;
/** Multiple of the median at which a machine is quarantined. */
const QUARANTINE_SLOWDOWN_RATIO = 2.5;
/** The median looks at the whole fleet: it is kept for a while. */
const MEDIAN_MAX_AGE_MS = 3000;

/** Compares the machines' mean slowdowns. */
export class SpeedComparison {
  private median = { at: Number.NEGATIVE_INFINITY, value: 0 };

  constructor(
    private readonly options: Pick<SchedulerOptions, 'clock' | 'log'>,
    private readonly state: ClusterState,
  ) {}

  /** `slowdown`: a task's run time divided by its estimate. */
  record(machine: Machine, slowdown: number): void {
    const { speed } = machine;
    speed.runs++;
    speed.meanSlowdown =
      speed.runs === 1 ? slowdown : speed.meanSlowdown * EARLIER_RUNS_WEIGHT + slowdown * NEWEST_RUN_WEIGHT;
    if (speed.runs < MIN_RUNS_TO_JUDGE || machine.isQuarantined) return;
    const median = this.medianSlowdown();
    if (median <= 0 || speed.meanSlowdown <= median * QUARANTINE_SLOWDOWN_RATIO) return;
    machine.isQuarantined = true;
    this.options.log.info(
      { machine: machine.name, meanSlowdown: speed.meanSlowdown, medianSlowdown: median },
      'machine quarantined: far slower than its peers',
    );
  }

  /** 0 as long as too few machines were measured. */
  private medianSlowdown(): number {
    const now = this.options.clock.now();
    if (now - this.median.at > MEDIAN_MAX_AGE_MS) {
      const slowdowns = [...this.state.machines.values()]
        .filter((machine) => machine.speed.runs >= MIN_RUNS_FOR_MEDIAN)
        .map((machine) => machine.speed.meanSlowdown);
      slowdowns.sort((a, b) => a - b);
      const isKnown = slowdowns.length > MAX_MACHINES_WITHOUT_MEDIAN;
      this.median = { at: now, value: isKnown ? (slowdowns[slowdowns.length >> 1] ?? 0) : 0 };
    }
    return this.median.value;
  }
}
