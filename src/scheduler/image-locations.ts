/**
 * The images cached on each machine, as inferred from the tasks that wait or run there. The leader replicates
 * them to its peers, so that the next leader knows them too. They only influence the choice of machines, so
 * they may be wrong or outdated: an image that a worker has dropped from its cache stays listed until the
 * machine is deleted.
 */

import type { ImageLocation } from '../model/image-location.js';

/** Images by machine, and the changes recorded here that were not yet taken to be sent to peers. */
export class ImageLocations {
  /** Sizes in GB of the images on each machine, by machine name and image. */
  private readonly sizesByMachine = new Map<string, Map<string, number>>();
  private added: ImageLocation[] = [];
  private removedMachines: string[] = [];

  /**
   * Records that a machine holds an image, because a task that needs the image waits or runs there. Has no
   * effect if the image is known already.
   */
  add(machine: string, image: string, sizeGb: number): void {
    if (this.sizesByMachine.get(machine)?.has(image)) return;
    const location: ImageLocation = { machine, image, sizeGb };
    this.set(location);
    this.added.push(location);
  }

  /** Removes the images of a machine that was deleted. */
  removeMachine(machine: string): void {
    if (this.sizesByMachine.delete(machine)) this.removedMachines.push(machine);
  }

  /** Sizes in GB of the images on a machine; undefined if no image is known there. */
  imagesOf(machine: string): ReadonlyMap<string, number> | undefined {
    return this.sizesByMachine.get(machine);
  }

  /**
   * Returns the changes of image locations recorded since the last call, without those received from the
   * leader.
   */
  takeChanges(): { added: ImageLocation[]; removedMachines: string[] } {
    const changes = { added: this.added, removedMachines: this.removedMachines };
    this.added = [];
    this.removedMachines = [];
    return changes;
  }

  /** Returns all known image locations, for a peer that may have missed changes. */
  all(): ImageLocation[] {
    const locations: ImageLocation[] = [];
    for (const [machine, images] of this.sizesByMachine)
      for (const [image, sizeGb] of images) locations.push({ machine, image, sizeGb });
    return locations;
  }

  /** Applies the changes of image locations received from the leader. */
  apply(added: readonly ImageLocation[], removedMachines: readonly string[]): void {
    for (const location of added) this.set(location);
    // Names of machines are never reused, so a removal takes precedence over an addition.
    for (const machine of removedMachines) this.sizesByMachine.delete(machine);
  }

  private set({ machine, image, sizeGb }: ImageLocation): void {
    const images = this.sizesByMachine.get(machine);
    if (images) images.set(image, sizeGb);
    else this.sizesByMachine.set(machine, new Map([[image, sizeGb]]));
  }
}
