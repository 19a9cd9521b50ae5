/** Network addresses in the form `HOST:PORT`, as used in the settings and in worker heartbeats. */

/** A host and its TCP port. */
export interface HostAndPort {
  /** Host name or IP address. */
  host: string;
  port: number;
}

/**
 * Splits `HOST:PORT` at the last colon. Does not validate: callers check the format when they read an
 * address.
 */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
