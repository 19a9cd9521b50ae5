/** Addresses as the settings and workers write them. */

/** A host and its TCP port. */
export interface HostAndPort {
  /** Name or IP address. */
  host: string;
  port: number;
}

/** Splits `HOST:PORT` at its last colon. The form is checked where the address is read, not here. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
