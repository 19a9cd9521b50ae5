/** What a controller does with a worker's heartbeat. */

import type { WorkerCommand } from './worker-messages.js';

/**
 * `accepted`: the lease is renewed, and the worker carries the commands out. `redirected`: another controller leads;
 * null if none is known. `unavailable`: its lease must not be renewed now, so it gets no answer that would renew it.
 */
export type HeartbeatResult =
  | { type: 'accepted'; fencingToken: number; commands: WorkerCommand[] }
  | { type: 'redirected'; leaderName: string | null }
  | { type: 'unavailable' };
