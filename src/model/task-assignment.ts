/** Which task of a gang goes to which place, where machines refuse some of them. */

/**
 * Assigns tasks to places so that no place gets a task that it refuses: a maximum bipartite matching by augmenting paths.
 * `refused` has the tasks that each place refuses. Places with the most refusals choose first, so paths are rarely longer
 * than one step.
 */
export function assignTasks(
  tasks: readonly number[],
  refused: readonly (ReadonlySet<number> | undefined)[],
): TaskAssignment {
  const matching = new Matching(tasks, refused);
  const places = refused.map((_, place) => place);
  places.sort((a, b) => (refused[b]?.size ?? 0) - (refused[a]?.size ?? 0));
  const without = places.filter((place) => !matching.assign(place));
  return { tasks: matching.taskOf, without };
}

/** What `assignTasks` found. */
export interface TaskAssignment {
  /** The task of each place; undefined: none was left that it takes. */
  tasks: readonly (number | undefined)[];
  /** Places that got none. */
  without: readonly number[];
}

class Matching {
  readonly taskOf: (number | undefined)[];
  private readonly placeOf = new Map<number, number>();
  /** Before it all tasks have been taken at least once: a task once taken stays taken. */
  private firstFree = 0;

  constructor(
    private readonly tasks: readonly number[],
    private readonly refused: readonly (ReadonlySet<number> | undefined)[],
  ) {
    this.taskOf = refused.map(() => undefined);
  }

  assign(place: number): boolean {
    const free = this.freeTask(place);
    if (free === undefined) return this.augment(place);
    this.match(place, free);
    return true;
  }

  private freeTask(place: number): number | undefined {
    for (let index = this.firstFree; index < this.tasks.length; index++) {
      const task = this.tasks[index];
      if (task === undefined) break;
      if (this.placeOf.has(task)) {
        if (index === this.firstFree) this.firstFree++;
      } else if (this.takes(place, task)) return task;
    }
    return undefined;
  }

  /** Breadth first: a place that holds a task gives it up where it can take one that nobody holds. */
  private augment(start: number): boolean {
    const reachedFrom = new Map<number, number>();
    const queue = [start];
    for (const place of queue) {
      const free = this.freeTask(place);
      if (free !== undefined) {
        this.shift(place, free, reachedFrom);
        return true;
      }
      for (const task of this.tasks) {
        const holder = this.placeOf.get(task);
        if (holder === undefined || holder === start || reachedFrom.has(holder) || !this.takes(place, task))
          continue;
        reachedFrom.set(holder, place);
        queue.push(holder);
      }
    }
    return false;
  }

  /** Along the path each place takes the task of the one after it, the last one a free task. */
  private shift(last: number, free: number, reachedFrom: ReadonlyMap<number, number>): void {
    let place: number | undefined = last;
    let task: number | undefined = free;
    while (place !== undefined && task !== undefined) {
      const given = this.taskOf[place];
      this.match(place, task);
      task = given;
      place = reachedFrom.get(place);
    }
  }

  private match(place: number, task: number): void {
    this.taskOf[place] = task;
    this.placeOf.set(task, place);
  }

  private takes(place: number, task: number): boolean {
    return !this.refused[place]?.has(task);
  }
}
