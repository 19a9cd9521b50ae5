/** [machine, image, its size in GB] */
export type ImageFact = [string, string, number];

/**
 * Which machines hold which images, as far as tasks that ran there tell. The scheduler learns it and tells its siblings,
 * so that the next scheduler need not learn it again. Only the choice of machines rests on it: it may be wrong or old.
 */
export class ImageFacts {
  private readonly machines = new Map<string, Map<string, number>>();
  private added: ImageFact[] = [];
  private removed: string[] = [];

  learn(machine: string, image: string, gb: number): void {
    if (this.machines.get(machine)?.has(image)) return;
    this.set(machine, image, gb);
    this.added.push([machine, image, gb]);
  }

  forget(machine: string): void {
    if (this.machines.delete(machine)) this.removed.push(machine);
  }

  of(machine: string): ReadonlyMap<string, number> | undefined {
    return this.machines.get(machine);
  }

  /** What has changed since the last call. */
  news(): { add: ImageFact[]; gone: string[] } {
    const n = { add: this.added, gone: this.removed };
    this.added = [];
    this.removed = [];
    return n;
  }

  all(): ImageFact[] {
    const out: ImageFact[] = [];
    for (const [machine, images] of this.machines)
      for (const [image, gb] of images) out.push([machine, image, gb]);
    return out;
  }

  take(add: ImageFact[], gone: string[]): void {
    for (const [machine, image, gb] of add) this.set(machine, image, gb);
    // A machine's name is never used again: one that is gone stays gone, whatever was learnt of it just before.
    for (const m of gone) this.machines.delete(m);
  }

  private set(machine: string, image: string, gb: number): void {
    const images = this.machines.get(machine);
    if (images) images.set(image, gb);
    else this.machines.set(machine, new Map([[image, gb]]));
  }
}
