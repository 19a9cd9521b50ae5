/** Results of calls to other services. */

import type { Heartbeat } from './worker-messages.js';

/**
 * A failed call.
 * - `conflict`: not executed, because a precondition did not hold or the worker follows a newer leader.
 * - `refused`: certainly not executed.
 * - `indeterminate`: it may have been executed, or may still be.
 * - `notFound`: something it needs does not exist (a lease, the change history, free capacity in the cloud).
 * - `invalid`: not executed, and a retry won't be either.
 */
export interface Failure {
  ok: false;
  kind: 'conflict' | 'refused' | 'indeterminate' | 'notFound' | 'invalid';
  /** With a `conflict` from the key-value store: the keys whose preconditions did not hold. */
  failedKeys?: string[];
  /** With a `conflict` from a worker: its current heartbeat. */
  heartbeat?: Heartbeat;
}

/** The result of a call. */
export type Result<T> = { ok: true; value: T } | Failure;

/** Receives the result of a call. */
export type ResultCallback<T> = (result: Result<T>) => void;
