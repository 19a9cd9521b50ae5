/** Divides the file descriptors of the process among the kinds of its connections. */

/** Maximum number of open connections by kind. */
export interface SocketBudget {
  /** Accepted HTTP connections from workers, users and health checks. */
  inbound: number;
  /** Outbound connections to workers, for direct commands. */
  workers: number;
}

/**
 * File descriptors reserved for standard streams, timers, listening sockets, and connections being opened or
 * closed.
 */
const RESERVED_DESCRIPTORS = 40;
/**
 * File descriptors reserved for connections to the key-value store (16 for requests, 8 for watches) and to
 * the cloud (6).
 */
const STORE_AND_CLOUD_CONNECTIONS = 30;
/** Connections per peer: one outbound, one inbound, and a spare one while either is being replaced. */
const CONNECTIONS_PER_PEER = 3;
/** Share of all file descriptors for connections to workers. */
const WORKER_SHARE = 0.15;
const MIN_WORKER_CONNECTIONS = 4;
const MIN_INBOUND_CONNECTIONS = 16;

/**
 * Computes the budget from the file descriptor limit (setting `limits.fd_limit`) and the number of peers. The
 * minimum numbers of connections apply even if their sum exceeds the limit.
 */
export function computeSocketBudget(fdLimit: number, peerCount: number): SocketBudget {
  const available =
    fdLimit - RESERVED_DESCRIPTORS - STORE_AND_CLOUD_CONNECTIONS - CONNECTIONS_PER_PEER * peerCount;
  const workers = Math.max(MIN_WORKER_CONNECTIONS, Math.floor(fdLimit * WORKER_SHARE));
  return { inbound: Math.max(MIN_INBOUND_CONNECTIONS, available - workers), workers };
}
