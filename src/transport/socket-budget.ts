/** Divides the process's file descriptors among the purposes of its connections. */

/** Connections a controller may hold open, by purpose. */
export interface SocketBudget {
  /** Accepted ones: from workers, users and health checks. */
  inbound: number;
  /** Connections to workers, for direct commands. */
  workers: number;
}

/** Standard streams, timers and listening sockets of the process, and connections being opened or closed. */
const RESERVED_DESCRIPTORS = 40;
/** Connections to the state service and to the cloud. */
const STORE_AND_CLOUD_CONNECTIONS = 30;
/** Connections with one other controller: one dialled, one accepted, and one spare while either is replaced. */
const CONNECTIONS_PER_PEER = 3;
/** Part of all descriptors that connections to workers may take. */
const WORKER_SHARE = 0.15;
const MIN_WORKER_CONNECTIONS = 4;
const MIN_INBOUND_CONNECTIONS = 16;

/** The budget that follows from the limit of file descriptors (`limits.fd_limit`) and the number of other controllers. */
export function computeSocketBudget(fdLimit: number, peerCount: number): SocketBudget {
  const available =
    fdLimit - RESERVED_DESCRIPTORS - STORE_AND_CLOUD_CONNECTIONS - CONNECTIONS_PER_PEER * peerCount;
  const workers = Math.max(MIN_WORKER_CONNECTIONS, Math.floor(fdLimit * WORKER_SHARE));
  return { inbound: Math.max(MIN_INBOUND_CONNECTIONS, available - workers), workers };
}
