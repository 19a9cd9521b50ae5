/** Outcomes of calls to other services. */

import type { Heartbeat } from './worker-messages.js';

/**
 * A call that brought nothing.
 * `conflict`: not executed, as a precondition failed or a worker follows a newer leader.
 * `refused`: surely not executed.
 * `indeterminate`: may have been executed, or may yet be.
 * `notFound`: what it needs does not exist (a lease, the history of changes, free capacity of the cloud).
 * `invalid`: not executed, and won't be if it is repeated.
 */
export interface Failure {
  ok: false;
  kind: 'conflict' | 'refused' | 'indeterminate' | 'notFound' | 'invalid';
  /** With a conflict at the key-value store: the keys whose preconditions failed. */
  failedKeys?: string[];
  /** With a conflict at a worker: its status. */
  heartbeat?: Heartbeat;
}

/** The outcome of a call. */
export type Result<T> = { ok: true; value: T } | Failure;

/** Takes the outcome of a call. */
export type ResultCallback<T> = (result: Result<T>) => void;
