/** Event loop of a controller: every input becomes an event, and events are handled in batches. */

import type { Clock } from '../model/clock.js';
import type { PeerMessage } from '../model/peer-message.js';
import type { ResultCallback } from '../model/result.js';

/** An event handled by a controller. Results of calls to other services arrive as `callback`. */
export type ControllerEvent =
  | { type: 'peerMessage'; message: PeerMessage }
  | { type: 'peerConnection'; nodeName: string; isUp: boolean }
  | { type: 'callback'; run: () => void }
  | { type: 'tick' };

/** Clock and callbacks of an event queue. */
export interface EventQueueOptions {
  clock: Clock;
  handleEvent(event: ControllerEvent): void;
  /** Called after the events of each batch have been handled, to send the resulting messages and writes. */
  onBatchEnd(): void;
}

/**
 * Handles events one at a time, in order of arrival.
 *
 * Results from the store, the cloud and the workers pass through this queue as callbacks, and the decision
 * code uses callbacks instead of promises. A promise's continuation would run as a microtask: after the batch
 * that it belongs to has been flushed, and in an order that depends on the number of intervening `await`s. In
 * the queue a result is ordered among the other events and sees the state left by all earlier ones, and its
 * effects are flushed with the same batch. This also makes simulated clusters reproducible.
 */
export class EventQueue {
  private readonly events: ControllerEvent[] = [];
  private batchScheduled = false;

  constructor(private readonly options: EventQueueOptions) {}

  /** Appends an event to the next batch. */
  push(event: ControllerEvent): void {
    this.events.push(event);
    this.wake();
  }

  /** Schedules a batch even if no event is queued, so that `onBatchEnd` flushes pending output. */
  wake(): void {
    if (this.batchScheduled) return;
    this.batchScheduled = true;
    this.options.clock.defer(() => this.runBatch());
  }

  /** Wraps a callback so that calling it queues an event, which runs the callback in the next batch. */
  asEvent<T>(callback: ResultCallback<T>): ResultCallback<T> {
    return (result) => this.push({ type: 'callback', run: () => callback(result) });
  }

  private runBatch(): void {
    this.batchScheduled = false;
    for (const event of this.events.splice(0)) this.options.handleEvent(event);
    this.options.onBatchEnd();
  }
}
