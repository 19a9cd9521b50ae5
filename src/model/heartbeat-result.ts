/** What a controller does with a worker's heartbeat. */

import type { WorkerCommand } from './worker-messages.js';

export type HeartbeatResult =
  | { type: 'accepted'; fencingToken: number; commands: WorkerCommand[] }
  | { type: 'redirected'; leaderName: string | null }
  | { type: 'unavailable' };
