import net from 'node:net';
import { Packr, UnpackrStream } from 'msgpackr';
import type { MeshMsg, MeshPort } from '../core/controller.js';
import type { Logger } from '../core/types.js';

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

function isFacts(v: unknown): boolean {
  const fact = (x: unknown) =>
    Array.isArray(x) && typeof x[0] === 'string' && typeof x[1] === 'string' && typeof x[2] === 'number';
  return Array.isArray(v) && v.every(fact);
}

function isNames(v: unknown): v is string[] {
  return Array.isArray(v) && v.every((x) => typeof x === 'string');
}

function isMark(v: unknown): boolean {
  if (v === null) return true;
  if (typeof v !== 'object') return false;
  const m = v as { inst?: unknown; mark?: unknown };
  return typeof m.inst === 'string' && typeof m.mark === 'number';
}

function isCover(v: unknown): boolean {
  const pending = v === null ? null : (v as { pending?: unknown }).pending;
  return isMark(v) && (pending === null || isNames(pending));
}

/** A message of the shape that controllers send; anything else is dropped. */
export function isMeshMsg(v: unknown): v is MeshMsg {
  if (typeof v !== 'object' || v === null) return false;
  const m = v as Partial<MeshMsg>;
  if (typeof m.host !== 'string' || typeof m.inst !== 'string' || typeof m.seq !== 'number') return false;
  const b = m.body as
    | {
        k?: unknown;
        m?: unknown;
        to?: unknown;
        token?: unknown;
        leader?: unknown;
        okAgeMs?: unknown;
        strays?: unknown;
        mark?: unknown;
        cover?: unknown;
        had?: unknown;
        told?: unknown;
        n?: unknown;
        job?: unknown;
        add?: unknown;
        gone?: unknown;
      }
    | undefined;
  if (typeof b !== 'object' || b === null) return false;
  if (b.k === 'ping')
    return (
      typeof b.token === 'number' &&
      typeof b.leader === 'string' &&
      typeof b.okAgeMs === 'number' &&
      isNames(b.strays) &&
      typeof b.mark === 'number' &&
      typeof b.told === 'number' &&
      isMark(b.had) &&
      isCover(b.cover)
    );
  if (b.k === 'cancelled') return typeof b.job === 'string' && typeof b.n === 'number';
  if (b.k === 'images') return isFacts(b.add) && isNames(b.gone);
  return (
    (b.k === 'owner' || b.k === 'scheduler') &&
    typeof b.to === 'string' &&
    typeof b.m === 'object' &&
    b.m !== null
  );
}

/** Connections among controllers: each dials every sibling and sends on what it dialled. */
export class Mesh implements MeshPort {
  private readonly peers = new Map<string, Peer>();
  /** Records: the names of fields go once into a message, however many placements it lists. */
  private readonly packr = new Packr();

  constructor(
    bind: string,
    peers: { host: string; addr: string }[],
    private readonly log: Logger,
    private readonly got: (m: MeshMsg) => void,
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
      if (isMeshMsg(v)) this.got(v);
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

  send(host: string, m: MeshMsg): void {
    const p = this.peers.get(host);
    if (!p?.up || !p.sock) return;
    if (p.sock.writableLength > MOST_WAITING) {
      // Behind a cut: start anew rather than pile up.
      p.sock.destroy();
      return;
    }
    p.sock.write(this.packr.pack(m));
  }

  /** A sibling not heard of for long although connected: the connection hangs. */
  reset(host: string): void {
    this.peers.get(host)?.sock?.destroy();
  }
}
