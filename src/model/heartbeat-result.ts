/** What a controller does with a worker's heartbeat. */

import type { WorkerCommand } from './worker-messages.js';

/**
 * `accepted`: the worker's lease is renewed, and it carries the commands out. `redirected`: the worker turns to the leader, or,
 * if it is null, to some other controller. `unavailable`: no answer that would renew its lease may be given now.
 */
export type HeartbeatResult =
  | { type: 'accepted'; fencingToken: number; commands: WorkerCommand[] }
  | { type: 'redirected'; leaderName: string | null }
  | { type: 'unavailable' };
