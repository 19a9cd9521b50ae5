/** Connections between controllers: each sends on the connections it makes and receives on those made to it. */

import net from 'node:net';
import { Packr, UnpackrStream } from 'msgpackr';
import type { Logger } from '../model/logger.js';
import type { PeerMessage, PeerTransport } from '../model/peer-message.js';
import { decodePeerMessage, encodePeerMessage } from '../wire/peer-codec.js';
import { parseAddress } from './address.js';

/** With more than this waiting to be sent a connection is taken to be cut off: starting anew beats piling up. */
const MAX_UNSENT_BYTES = 4 << 20;
const CONNECT_TIMEOUT_MS = 2000;
/** Pause before a connection is made again. It grows with each failure and starts over once a connection is made. */
const INITIAL_RECONNECT_DELAY_MS = 200;
const MAX_RECONNECT_DELAY_MS = 1000;
const RECONNECT_DELAY_FACTOR = 1.5;
/** Heartbeats come far more often: a connection without any message for so long is dead. */
const RECEIVE_TIMEOUT_MS = 15_000;

/** Another controller. */
export interface Peer {
  nodeName: string;
  /** `HOST:PORT`. */
  address: string;
}

/** What {@link PeerConnections} connects, and who is told. */
export interface PeerConnectionsOptions {
  /** Where the other controllers connect to, `HOST:PORT`. */
  bind: string;
  peers: readonly Peer[];
  log: Logger;
  /** A message has come, from whichever peer. */
  onMessage: (message: PeerMessage) => void;
  /** The connection to a peer has been made or lost; a message sent before may be lost. */
  onConnectionChange: (nodeName: string, isUp: boolean) => void;
}

/**
 * Listens for the other controllers and keeps a connection to each of them. Nothing is sent twice or acknowledged: messages
 * are lost with their connection, and while there is none. Failing to listen is logged; no peer can reach
 * this controller then.
 */
export class PeerConnections implements PeerTransport {
  private readonly outbound = new Map<string, OutboundConnection>();
  /** Records: the names of fields go once into a message, however many placements it lists. */
  private readonly packr = new Packr();

  constructor(private readonly options: PeerConnectionsOptions) {
    const { bind, peers, log, onConnectionChange } = options;
    const server = net.createServer((socket) => this.acceptConnection(socket));
    server.on('error', (error) => log.error({ err: String(error) }, 'peer server failed'));
    server.listen(parseAddress(bind));
    for (const { nodeName, address } of peers)
      this.outbound.set(
        nodeName,
        new OutboundConnection(address, (isUp) => onConnectionChange(nodeName, isUp)),
      );
  }

  /** Sends a message to a peer if there is a connection to it. */
  send(nodeName: string, message: PeerMessage): void {
    const connection = this.outbound.get(nodeName);
    if (connection?.isWritable()) connection.write(this.packr.pack(encodePeerMessage(message)));
  }

  private acceptConnection(socket: net.Socket): void {
    socket.setNoDelay(true);
    socket.setTimeout(RECEIVE_TIMEOUT_MS, () => socket.destroy());
    const messages = new UnpackrStream();
    messages.on('data', (encoded: unknown) => {
      const message = decodePeerMessage(encoded);
      if (message) this.options.onMessage(message);
      else this.options.log.debug({}, 'malformed peer message dropped');
    });
    messages.on('error', () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.pipe(messages);
  }
}

/** The connection to one peer, made again whenever it is lost. */
class OutboundConnection {
  private socket: net.Socket;
  private isUp = false;
  private reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;

  constructor(
    private readonly address: string,
    private readonly onConnectionChange: (isUp: boolean) => void,
  ) {
    this.socket = this.connect();
  }

  /** Whether there is a connection that takes more; one that is cut off is closed. */
  isWritable(): boolean {
    if (!this.isUp) return false;
    if (this.socket.writableLength <= MAX_UNSENT_BYTES) return true;
    this.socket.destroy();
    return false;
  }

  write(data: Buffer): void {
    this.socket.write(data);
  }

  private connect(): net.Socket {
    const socket = net.connect(parseAddress(this.address));
    socket.setNoDelay(true);
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      this.isUp = true;
      this.reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
      this.onConnectionChange(true);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(connectTimer);
      this.handleClose();
    });
    return socket;
  }

  private handleClose(): void {
    const wasUp = this.isUp;
    this.isUp = false;
    if (wasUp) this.onConnectionChange(false);
    setTimeout(() => {
      this.socket = this.connect();
    }, this.reconnectDelayMs);
    this.reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, this.reconnectDelayMs * RECONNECT_DELAY_FACTOR);
  }
}
