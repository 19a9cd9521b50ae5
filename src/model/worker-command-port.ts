/** Direct commands to workers. */

import type { ResultCallback } from './result.js';
import type { Heartbeat, WorkerCommand } from './worker-messages.js';

export interface WorkerCommandPort {
  /** Straight to a worker. `refused`: 409 or a connection that was never made; nothing was executed. */
  sendCommands(
    addr: string,
    token: number,
    agentEpoch: number,
    commands: WorkerCommand[],
    callback: ResultCallback<Heartbeat>,
  ): void;
}
