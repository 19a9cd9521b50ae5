/** Connections between controllers: each sends on its outbound connections and receives on inbound ones. */

import net from 'node:net';
import { Packr, UnpackrStream } from 'msgpackr';
import type { Logger } from '../model/logger.js';
import type { PeerMessage, PeerTransport } from '../model/peer-message.js';
import { decodePeerMessage, encodePeerMessage } from '../wire/peer-codec.js';
import { parseAddress } from './address.js';

/**
 * A connection to a peer with more unsent data is considered dead: reconnecting is better than buffering
 * more.
 */
const MAX_UNSENT_BYTES = 4 << 20;
const CONNECT_TIMEOUT_MS = 2000;
/** Delay before reconnecting. It grows with each failed attempt; establishing a connection resets it. */
const INITIAL_RECONNECT_DELAY_MS = 200;
const MAX_RECONNECT_DELAY_MS = 1000;
const RECONNECT_DELAY_FACTOR = 1.5;
/** Peer heartbeats are sent far more often, so an inbound connection that is silent for this long is dead. */
const RECEIVE_TIMEOUT_MS = 15_000;

/** Node name and address of another controller. */
export interface PeerAddress {
  nodeName: string;
  /** Address of the controller, `HOST:PORT`. */
  address: string;
}

/** Options of {@link PeerConnections}. */
export interface PeerConnectionsOptions {
  /** Address to listen on for other controllers, `HOST:PORT`. */
  bind: string;
  peerAddresses: readonly PeerAddress[];
  log: Logger;
  /** Called for each message received, from any peer. */
  onMessage: (message: PeerMessage) => void;
  /**
   * Called when the outbound connection to a peer is established or lost. Messages sent before may be lost.
   */
  onConnectionChange: (nodeName: string, isUp: boolean) => void;
}

/**
 * Listens for the other controllers and keeps a connection to each of them. Messages are neither
 * retransmitted nor acknowledged: they are lost when their connection breaks and while there is none. A
 * failure to listen is logged; this controller then receives no messages from its peers.
 */
export class PeerConnections implements PeerTransport {
  private readonly outbound = new Map<string, OutboundConnection>();
  /**
   * Serializes messages with msgpackr's records: a message contains each field name once, however many
   * placements it lists.
   */
  private readonly packr = new Packr();

  constructor(private readonly options: PeerConnectionsOptions) {
    const { bind, peerAddresses, log, onConnectionChange } = options;
    const server = net.createServer((socket) => this.acceptConnection(socket));
    server.on('error', (error) => log.error({ err: String(error) }, 'peer server failed'));
    server.listen(parseAddress(bind));
    for (const { nodeName, address } of peerAddresses)
      this.outbound.set(
        nodeName,
        new OutboundConnection(address, (isUp) => onConnectionChange(nodeName, isUp)),
      );
  }

  /** Sends a message to a peer. Drops it if there is no connection or too much unsent data on it. */
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

/** Connection to one peer that reconnects whenever it is lost. */
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

  /**
   * Returns whether a message can be written to this connection now. Closes the connection if it has more
   * than {@link MAX_UNSENT_BYTES} of unsent data.
   */
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
