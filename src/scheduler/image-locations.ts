/**
 * Which machines hold which images, as far as tasks that ran there tell. The scheduler learns it and tells its siblings,
 * so that the next scheduler need not learn it again. Only the choice of machines rests on it: it may be wrong or old.
 */
import type { ImageFact } from '../model/image-fact.js';
export class ImageLocations {
  private readonly machines = new Map<string, Map<string, number>>();
  private added: ImageFact[] = [];
  private removedMachines: string[] = [];

  learn(machine: string, image: string, sizeGb: number): void {
    if (this.machines.get(machine)?.has(image)) return;
    this.set(machine, image, sizeGb);
    this.added.push([machine, image, sizeGb]);
  }

  forget(machine: string): void {
    if (this.machines.delete(machine)) this.removedMachines.push(machine);
  }

  imagesOf(machine: string): ReadonlyMap<string, number> | undefined {
    return this.machines.get(machine);
  }

  /** What has changed since the last call. */
  takeChanges(): { added: ImageFact[]; removedMachines: string[] } {
    const n = { added: this.added, removedMachines: this.removedMachines };
    this.added = [];
    this.removedMachines = [];
    return n;
  }

  all(): ImageFact[] {
    const out: ImageFact[] = [];
    for (const [machine, images] of this.machines)
      for (const [image, sizeGb] of images) out.push([machine, image, sizeGb]);
    return out;
  }

  apply(add: ImageFact[], gone: string[]): void {
    for (const [machine, image, sizeGb] of add) this.set(machine, image, sizeGb);
    // A machine's name is never used again: one that is gone stays gone, whatever was learnt of it just before.
    for (const m of gone) this.machines.delete(m);
  }

  private set(machine: string, image: string, sizeGb: number): void {
    const images = this.machines.get(machine);
    if (images) images.set(image, sizeGb);
    else this.machines.set(machine, new Map([[image, sizeGb]]));
  }
}
