/** Copies of the leader's knowledge of images at its peers, for whoever leads next. */

import type { ImageLocation } from '../model/image-location.js';
import { ImageLocations } from '../scheduler/image-locations.js';
import type { Leadership } from './leadership.js';
import type { PeerMessenger } from './peer-messenger.js';

/** Most facts about images in one message. */
const MAX_IMAGE_LOCATIONS_PER_MESSAGE = 2000;

/** Sends what the leader learns of images to the peers, and takes it in where another controller leads. */
export class ImageReplication {
  /** What is known here. */
  readonly locations = new ImageLocations();

  constructor(
    private readonly messenger: PeerMessenger,
    private readonly leadership: Leadership,
  ) {}

  /** Sends what has changed since the last call. */
  sendChanges(): void {
    // Taken in any case: what a controller learnt before it stepped down is not its to tell.
    const changes = this.locations.takeChanges();
    if (this.leadership.scheduler && changes.added.length + changes.removedMachines.length > 0)
      this.messenger.broadcast({ type: 'images', ...changes });
  }

  /** Sends all that is known to a peer, which may have missed any part of it. */
  sendAll(nodeName: string): void {
    const allLocations = this.locations.all();
    for (let start = 0; start < allLocations.length; start += MAX_IMAGE_LOCATIONS_PER_MESSAGE)
      this.messenger.send(nodeName, {
        type: 'images',
        added: allLocations.slice(start, start + MAX_IMAGE_LOCATIONS_PER_MESSAGE),
        removedMachines: [],
      });
  }

  /** Takes in what a leader sent. */
  apply(added: ImageLocation[], removedMachines: string[]): void {
    if (!this.leadership.scheduler) this.locations.apply(added, removedMachines);
  }
}
