import net from 'node:net';
import { Packr, UnpackrStream } from 'msgpackr';
import type { Logger } from '../model/logger.js';
import type { PeerMessage, PeerTransport } from '../model/peer-message.js';
import { decodePeerMessage, encodePeerMessage } from '../wire/peer-codec.js';

const MOST_WAITING = 4 << 20;

interface Peer {
  host: string;
  addr: string;
  sock: net.Socket | null;
  up: boolean;
  pause: number;
}

function split(addr: string): { host: string; port: number } {
  const cut = addr.lastIndexOf(':');
  return { host: addr.slice(0, cut), port: Number(addr.slice(cut + 1)) };
}

/** Connections among controllers: each dials every sibling and sends on what it dialled. */
export class Mesh implements PeerTransport {
  private readonly peers = new Map<string, Peer>();
  /** Records: the names of fields go once into a message, however many placements it lists. */
  private readonly packr = new Packr();

  constructor(
    bind: string,
    peers: { host: string; addr: string }[],
    private readonly log: Logger,
    private readonly got: (message: PeerMessage) => void,
    private readonly link: (host: string, up: boolean) => void,
  ) {
    const server = net.createServer((s) => this.accept(s));
    server.on('error', (e) => log.error({ err: String(e) }, 'mesh server'));
    const b = split(bind);
    server.listen(b.port, b.host);
    for (const p of peers) {
      const peer: Peer = { host: p.host, addr: p.addr, sock: null, up: false, pause: 200 };
      this.peers.set(p.host, peer);
      this.dial(peer);
    }
  }

  private accept(s: net.Socket): void {
    s.setNoDelay(true);
    s.setTimeout(15000, () => s.destroy());
    const stream = new UnpackrStream();
    stream.on('data', (v: unknown) => {
      const message = decodePeerMessage(v);
      if (message) this.got(message);
      else this.log.debug({}, 'mesh message dropped');
    });
    stream.on('error', () => s.destroy());
    s.on('error', () => s.destroy());
    s.pipe(stream);
  }

  private dial(p: Peer): void {
    const s = net.connect(split(p.addr));
    p.sock = s;
    s.setNoDelay(true);
    const timer = setTimeout(() => s.destroy(), 2000);
    s.on('connect', () => {
      clearTimeout(timer);
      p.up = true;
      p.pause = 200;
      this.link(p.host, true);
    });
    s.on('error', () => s.destroy());
    s.on('close', () => {
      clearTimeout(timer);
      if (p.sock !== s) return;
      const was = p.up;
      p.up = false;
      p.sock = null;
      if (was) this.link(p.host, false);
      setTimeout(() => this.dial(p), p.pause);
      p.pause = Math.min(1000, p.pause * 1.5);
    });
  }

  send(host: string, message: PeerMessage): void {
    const p = this.peers.get(host);
    if (!p?.up || !p.sock) return;
    if (p.sock.writableLength > MOST_WAITING) {
      // Behind a cut: start anew rather than pile up.
      p.sock.destroy();
      return;
    }
    p.sock.write(this.packr.pack(encodePeerMessage(message)));
  }

  /** A sibling not heard of for long although connected: the connection hangs. */
  reset(host: string): void {
    this.peers.get(host)?.sock?.destroy();
  }
}
