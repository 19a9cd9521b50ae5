/** Replicates the leader's image locations to its peers, for use by the next leader. */

import type { ImageLocation } from '../model/image-location.js';
import { ImageLocations } from '../scheduler/image-locations.js';
import type { Leadership } from './leadership.js';
import type { PeerMessenger } from './peer-messenger.js';

/** Maximum number of image locations in one message. */
const MAX_IMAGE_LOCATIONS_PER_MESSAGE = 2000;

/** Sends the leader's new image locations to its peers, and applies them on the other controllers. */
export class ImageReplication {
  /** The image locations known to this controller. */
  readonly locations = new ImageLocations();

  constructor(
    private readonly messenger: PeerMessenger,
    private readonly leadership: Leadership,
  ) {}

  /** Sends the image locations changed since the last call to all peers, if this controller leads. */
  sendChanges(): void {
    // The changes are taken even if they are not sent: changes from before a step-down must not be sent in a
    // later term.
    const changes = this.locations.takeChanges();
    if (this.leadership.scheduler && changes.added.length + changes.removedMachines.length > 0)
      this.messenger.broadcast({ type: 'images', ...changes });
  }

  /**
   * Sends all known image locations to a peer, which may have missed any of them. To be called only on the
   * leader.
   */
  sendAll(nodeName: string): void {
    const allLocations = this.locations.all();
    for (let start = 0; start < allLocations.length; start += MAX_IMAGE_LOCATIONS_PER_MESSAGE)
      this.messenger.send(nodeName, {
        type: 'images',
        added: allLocations.slice(start, start + MAX_IMAGE_LOCATIONS_PER_MESSAGE),
        removedMachines: [],
      });
  }

  /** Applies the image location changes sent by a leader; ignored while this controller leads. */
  apply(added: ImageLocation[], removedMachines: string[]): void {
    if (!this.leadership.scheduler) this.locations.apply(added, removedMachines);
  }
}
