/** Outcomes of calls to other services. */

import type { Heartbeat } from './worker-messages.js';

/** `refused`: surely not executed. `unknown`: may have been, or may yet be. */
export type Failure = {
  ok: false;
  kind: 'conflict' | 'refused' | 'unknown' | 'gone' | 'bad';
  failedKeys?: string[];
  heartbeat?: Heartbeat;
};

export type Result<T> = { ok: true; value: T } | Failure;

export type ResultCallback<T> = (result: Result<T>) => void;
