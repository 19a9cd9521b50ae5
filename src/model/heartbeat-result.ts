/** The outcome of a worker's heartbeat at a controller. */

import type { WorkerCommand } from './worker-messages.js';

/**
 * `accepted`: the worker's lease is renewed and the worker executes the commands. `redirected`: the worker
 * sends its heartbeats to the leader or, if `leaderName` is null, to another controller. `unavailable`: the
 * controller can't renew the lease at this time.
 */
export type HeartbeatResult =
  | { type: 'accepted'; fencingToken: number; commands: WorkerCommand[] }
  | { type: 'redirected'; leaderName: string | null }
  | { type: 'unavailable' };
