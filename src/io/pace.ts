import { URGENCY, type Urgency } from '../core/types.js';

/** So long a request waits for its turn, urgent ones and others: users give up after five seconds. */
const PATIENCE_MS = 3000;
const LESS_MS = 1500;

interface Waiting {
  ops: number;
  until: number;
  go: (ok: boolean) => void;
}

/**
 * Keeps one controller's requests under its part of the service's limits. The part is learnt: it starts above
 * an equal share, shrinks on every 429 and grows back slowly. Leases never wait.
 */
export class Pace {
  private readonly floor: number;
  private share: number;
  private requests: number;
  private ops: number;
  private at = Date.now();
  private timer: NodeJS.Timeout | null = null;
  private readonly queues: Waiting[][] = Object.values(URGENCY).map(() => []);

  constructor(private readonly l: { rps: number; writeRps: number; nodes: number }) {
    this.floor = 0.8 / Math.max(1, l.nodes);
    this.share = Math.min(0.8, 2 / Math.max(1, l.nodes));
    this.requests = l.rps * this.share;
    this.ops = l.writeRps * this.share;
  }

  refused(): void {
    this.share = Math.max(this.floor, this.share * 0.8);
    this.requests = Math.min(this.requests, 0);
    this.ops = Math.min(this.ops, 0);
  }

  enter(u: Urgency, ops: number, go: (ok: boolean) => void): void {
    this.fill();
    if (u === URGENCY.lease || (this.ahead(u) === 0 && this.affords(ops))) return this.spend(ops, go);
    const patience = u <= URGENCY.placement ? PATIENCE_MS : LESS_MS;
    // What would be given up on in the end is refused now.
    if (this.waitMs(u, ops) > patience) return go(false);
    this.queues[u]!.push({ ops, until: Date.now() + patience, go });
    this.arm();
  }

  /** How long a request of this urgency would wait, as the queue and the pace stand. */
  private waitMs(u: Urgency, ops: number): number {
    let requests = 1;
    let puts = ops;
    for (let k = 0; k <= u; k++)
      for (const w of this.queues[k]!) {
        requests++;
        puts += w.ops;
      }
    const slow = Math.max(
      (requests - this.requests) / (this.l.rps * this.share),
      puts > 0 ? (puts - Math.max(0, this.ops)) / (this.l.writeRps * this.share) : 0,
    );
    return slow * 1000;
  }

  private ahead(u: Urgency): number {
    let n = 0;
    for (let k = 0; k <= u; k++) n += this.queues[k]!.length;
    return n;
  }

  private affords(ops: number): boolean {
    return this.requests >= 1 && (ops === 0 || this.ops >= Math.min(ops, this.l.writeRps * this.share * 0.5));
  }

  private spend(ops: number, go: (ok: boolean) => void): void {
    this.requests -= 1;
    this.ops -= ops;
    go(true);
  }

  private fill(): void {
    const now = Date.now();
    const dt = Math.max(0, Math.min(2000, now - this.at)) / 1000;
    this.at = now;
    this.share = Math.min(0.9, this.share + 0.03 * dt);
    const r = this.l.rps * this.share;
    const w = this.l.writeRps * this.share;
    this.requests = Math.min(r * 0.7, this.requests + r * dt);
    this.ops = Math.min(w * 0.7, this.ops + w * dt);
  }

  private arm(): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = null;
      this.pump();
    }, 10);
  }

  private pump(): void {
    this.fill();
    const now = Date.now();
    for (const q of this.queues) {
      while (q.length > 0) {
        const w = q[0]!;
        if (w.until < now) {
          q.shift();
          w.go(false);
          continue;
        }
        if (!this.affords(w.ops)) return this.arm();
        q.shift();
        this.spend(w.ops, w.go);
      }
    }
  }
}
