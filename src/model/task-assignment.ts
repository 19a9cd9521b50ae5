/** Assigns the tasks of a gang to slots on machines that may refuse some of the tasks. */

/**
 * Assigns tasks to slots so that no slot gets a task that it refuses: a maximum bipartite matching by
 * augmenting paths. `refusedTasks` lists the tasks that each slot refuses. Slots with the most refusals are
 * assigned first, so augmenting paths are rarely longer than one step.
 */
export function assignTasks(
  tasks: readonly number[],
  refusedTasksBySlot: readonly (ReadonlySet<number> | undefined)[],
): TaskAssignment {
  const matching = new Matching(tasks, refusedTasksBySlot);
  const slots = refusedTasksBySlot.map((_, slot) => slot);
  slots.sort((a, b) => (refusedTasksBySlot[b]?.size ?? 0) - (refusedTasksBySlot[a]?.size ?? 0));
  const unassignedSlots = slots.filter((slot) => !matching.assign(slot));
  return { taskBySlot: matching.taskOf, unassignedSlots };
}

/** The result of `assignTasks`. */
export interface TaskAssignment {
  /** The task of each slot; undefined: no acceptable task was left. */
  taskBySlot: readonly (number | undefined)[];
  /** Indices of the slots without a task. */
  unassignedSlots: readonly number[];
}

class Matching {
  readonly taskOf: (number | undefined)[];
  private readonly slotOf = new Map<number, number>();
  /** All tasks before this index are matched. A matched task may move to another slot but stays matched. */
  private firstUnmatched = 0;

  constructor(
    private readonly tasks: readonly number[],
    private readonly refusedTasksBySlot: readonly (ReadonlySet<number> | undefined)[],
  ) {
    this.taskOf = refusedTasksBySlot.map(() => undefined);
  }

  assign(slot: number): boolean {
    const unmatchedTask = this.findUnmatchedTask(slot);
    if (unmatchedTask === undefined) return this.augment(slot);
    this.match(slot, unmatchedTask);
    return true;
  }

  private findUnmatchedTask(slot: number): number | undefined {
    for (let index = this.firstUnmatched; index < this.tasks.length; index++) {
      const task = this.tasks[index];
      if (task === undefined) break;
      if (this.slotOf.has(task)) {
        if (index === this.firstUnmatched) this.firstUnmatched++;
      } else if (this.accepts(slot, task)) return task;
    }
    return undefined;
  }

  /**
   * Searches breadth-first for an augmenting path: a slot gives up its task if it can take an unmatched one
   * instead.
   */
  private augment(startSlot: number): boolean {
    const reachedFrom = new Map<number, number>();
    const queue = [startSlot];
    for (const slot of queue) {
      const unmatchedTask = this.findUnmatchedTask(slot);
      if (unmatchedTask !== undefined) {
        this.applyPath(slot, unmatchedTask, reachedFrom);
        return true;
      }
      for (const task of this.tasks) {
        const holderSlot = this.slotOf.get(task);
        if (
          holderSlot === undefined ||
          holderSlot === startSlot ||
          reachedFrom.has(holderSlot) ||
          !this.accepts(slot, task)
        )
          continue;
        reachedFrom.set(holderSlot, slot);
        queue.push(holderSlot);
      }
    }
    return false;
  }

  /**
   * Applies an augmenting path backwards from its last slot: that slot takes the unmatched task, and each
   * slot before it takes the task that the next slot gives up.
   */
  private applyPath(lastSlot: number, unmatchedTask: number, reachedFrom: ReadonlyMap<number, number>): void {
    let slot: number | undefined = lastSlot;
    let task: number | undefined = unmatchedTask;
    while (slot !== undefined && task !== undefined) {
      const givenUpTask = this.taskOf[slot];
      this.match(slot, task);
      task = givenUpTask;
      slot = reachedFrom.get(slot);
    }
  }

  private match(slot: number, task: number): void {
    this.taskOf[slot] = task;
    this.slotOf.set(task, slot);
  }

  private accepts(slot: number, task: number): boolean {
    return !this.refusedTasksBySlot[slot]?.has(task);
  }
}
