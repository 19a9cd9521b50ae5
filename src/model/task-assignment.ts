/**
 * Assigns the tasks of a gang to slots. A slot is room for one task on a machine; a machine refuses a task of
 * which it still lists an exited attempt.
 */

/**
 * Assigns tasks to slots so that no slot gets a task that it refuses, and as many slots as possible get one:
 * a maximum bipartite matching by augmenting paths. `refusedTasksBySlot` has one entry per slot: the tasks
 * that its machine refuses; undefined: none. Slots with the most refusals are assigned first, so augmenting
 * paths are rarely longer than one step.
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
  /** The task of each slot, by slot index; undefined: no acceptable task was left. */
  taskBySlot: readonly (number | undefined)[];
  /** Indices of the slots without a task. */
  unassignedSlots: readonly number[];
}

class Matching {
  readonly taskOf: (number | undefined)[];
  private readonly slotOf = new Map<number, number>();
  /**
   * All entries of `tasks` before this index are matched. A matched task may move to another slot but stays
   * matched.
   */
  private firstUnmatched = 0;

  constructor(
    private readonly tasks: readonly number[],
    private readonly refusedTasksBySlot: readonly (ReadonlySet<number> | undefined)[],
  ) {
    this.taskOf = refusedTasksBySlot.map(() => undefined);
  }

  /** Matches a slot with a task; returns false if that is not possible. */
  assign(slot: number): boolean {
    const unmatchedTask = this.findUnmatchedTask(slot);
    if (unmatchedTask === undefined) return this.augment(slot);
    this.match(slot, unmatchedTask);
    return true;
  }

  /** Returns an unmatched task that the slot accepts; undefined if there is none. */
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
   * Searches breadth-first for an augmenting path and applies it: the slot takes the task of another slot,
   * which in turn takes an unmatched task or the task of yet another slot, and so on. Returns false if there
   * is none.
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
   * slot before it takes the task that the next slot has given up. `reachedFrom` maps each slot of the path
   * to the one before it.
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
