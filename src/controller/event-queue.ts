/** The event loop of a controller: everything that happens to it becomes a command, and commands run in batches. */

import type { Clock } from '../model/clock.js';
import type { PeerMessage } from '../model/peer-message.js';
import type { ResultCallback } from '../model/result.js';

/** What can happen to a controller. */
export type ControllerEvent =
  | { type: 'peerMessage'; message: PeerMessage }
  | { type: 'peerConnection'; nodeName: string; isUp: boolean }
  | { type: 'callback'; run: () => void }
  | { type: 'tick' };

/** What a command queue needs. */
export interface EventQueueOptions {
  clock: Clock;
  handleEvent(event: ControllerEvent): void;
  /** Called after the commands of each batch: the time to send what follows from all of them. */
  onBatchEnd(): void;
}

/**
 * Runs commands one after another, in the order in which they came.
 *
 * Answers of the store, the cloud and the workers come through this queue as callbacks, and the code that decides keeps
 * callbacks instead of promises. A promise would run its continuation as a microtask: after the batch that it belongs to
 * has been flushed, and in an order that depends on how many `await`s lie in between. Here an answer takes its place
 * among the other commands, sees the state that all earlier ones have left, and what follows from it is flushed with
 * the same batch. That also makes simulated clusters reproducible.
 */
export class EventQueue {
  private readonly events: ControllerEvent[] = [];
  private batchScheduled = false;

  constructor(private readonly options: EventQueueOptions) {}

  /** Appends a command to the next batch. */
  push(event: ControllerEvent): void {
    this.events.push(event);
    this.wake();
  }

  /** Makes sure that a batch comes, also without a command: its end flushes what has gathered. */
  wake(): void {
    if (this.batchScheduled) return;
    this.batchScheduled = true;
    this.options.clock.defer(() => this.runBatch());
  }

  /** A callback that, when it is called, runs as a command of the next batch. */
  asEvent<T>(callback: ResultCallback<T>): ResultCallback<T> {
    return (result) => this.push({ type: 'callback', run: () => callback(result) });
  }

  private runBatch(): void {
    this.batchScheduled = false;
    for (const event of this.events.splice(0)) this.options.handleEvent(event);
    this.options.onBatchEnd();
  }
}
