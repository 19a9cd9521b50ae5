/**
 * Which machines hold which images, as far as tasks that ran there tell. The leader learns it and tells its peers, so that
 * the next leader need not learn it again. Only the choice of machines rests on it: it may be wrong or old.
 */

import type { ImageLocation } from '../model/image-location.js';

/** Images by machine, with the changes that peers have not been told of yet. */
export class ImageLocations {
  /** Sizes in GB by image, by machine. */
  private readonly sizesByMachine = new Map<string, Map<string, number>>();
  private added: ImageLocation[] = [];
  private removedMachines: string[] = [];

  /** A task that ran on this machine has left its image there. */
  add(machine: string, image: string, sizeGb: number): void {
    if (this.sizesByMachine.get(machine)?.has(image)) return;
    const location: ImageLocation = { machine, image, sizeGb };
    this.set(location);
    this.added.push(location);
  }

  /** The machine is gone. */
  removeMachine(machine: string): void {
    if (this.sizesByMachine.delete(machine)) this.removedMachines.push(machine);
  }

  /** Sizes in GB of the images on a machine; undefined: nothing is known of it. */
  imagesOf(machine: string): ReadonlyMap<string, number> | undefined {
    return this.sizesByMachine.get(machine);
  }

  /** What has changed since the last call. */
  takeChanges(): { added: ImageLocation[]; removedMachines: string[] } {
    const changes = { added: this.added, removedMachines: this.removedMachines };
    this.added = [];
    this.removedMachines = [];
    return changes;
  }

  /** All that is known, for a peer that may have missed some of it. */
  all(): ImageLocation[] {
    const locations: ImageLocation[] = [];
    for (const [machine, images] of this.sizesByMachine)
      for (const [image, sizeGb] of images) locations.push({ machine, image, sizeGb });
    return locations;
  }

  /** Takes over what a peer has told. */
  apply(added: readonly ImageLocation[], removedMachines: readonly string[]): void {
    for (const location of added) this.set(location);
    // A machine's name is never used again: one that is gone stays gone, whatever was learnt of it just before.
    for (const machine of removedMachines) this.sizesByMachine.delete(machine);
  }

  private set({ machine, image, sizeGb }: ImageLocation): void {
    const images = this.sizesByMachine.get(machine);
    if (images) images.set(image, sizeGb);
    else this.sizesByMachine.set(machine, new Map([[image, sizeGb]]));
  }
}
