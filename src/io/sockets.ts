import type { Server, Socket } from 'node:net';

type Kind = 'worker' | 'user' | 'probe';

interface Seen {
  kind: Kind | null;
  busy: boolean;
  used: number;
}

/** What a controller may hold open, by purpose; it follows from `limits.fd_limit`. */
export interface SocketBudget {
  /** Taken by others: workers, users and health checks. */
  inbound: number;
  /** Connections to workers. */
  workers: number;
}

/** Standard streams, timers and listeners of the process, and connections being opened or closed. */
const SPARE = 40;
const STATE_AND_CLOUD = 30;
/** Part of the whole that direct commands to workers may take. */
const DIRECT = 0.15;
/** Part of the inbound ones that users may take while others want them, and what is kept free for newcomers. */
const USERS = 0.3;
const FREE = 0.04;
/** An idle connection may be closed by us only when it has been unused so long: its next request may be on its way. */
const IDLE_MS = 1000;

export function socketBudget(fdLimit: number, siblings: number): SocketBudget {
  const rest = fdLimit - SPARE - STATE_AND_CLOUD - 3 * siblings;
  const workers = Math.max(4, Math.floor(fdLimit * DIRECT));
  return { inbound: Math.max(16, rest - workers), workers };
}

function kindOf(path: string): Kind {
  if (path.startsWith('/hello')) return 'worker';
  return path.startsWith('/ready') ? 'probe' : 'user';
}

/**
 * Inbound connections. Near the limit whoever is over their part is let go after an answer (`Connection: close`), and
 * of the idle ones the longest unused are closed, so that neither users nor workers lock the others out.
 */
export class Sockets {
  private readonly open = new Map<Socket, Seen>();
  private readonly count = { worker: 0, user: 0, probe: 0 };

  constructor(
    private readonly most: number,
    private readonly now: () => number,
  ) {}

  get total(): number {
    return this.open.size;
  }

  attach(server: Server): void {
    server.maxConnections = this.most;
    server.on('connection', (s: Socket) => {
      this.open.set(s, { kind: null, busy: false, used: this.now() });
      s.once('close', () => {
        const seen = this.open.get(s);
        if (seen?.kind) this.count[seen.kind]--;
        this.open.delete(s);
      });
      if (this.full()) this.makeRoom();
    });
  }

  asked(s: Socket, path: string): void {
    const seen = this.open.get(s);
    if (!seen) return;
    const kind = kindOf(path);
    if (seen.kind !== kind) {
      if (seen.kind) this.count[seen.kind]--;
      this.count[kind]++;
      seen.kind = kind;
    }
    seen.busy = true;
  }

  answered(s: Socket): void {
    const seen = this.open.get(s);
    if (!seen) return;
    seen.busy = false;
    seen.used = this.now();
    // Most recently used last.
    this.open.delete(s);
    this.open.set(s, seen);
  }

  private full(): boolean {
    return this.open.size >= this.most * (1 - FREE);
  }

  private over(): 'worker' | 'user' {
    return this.count.user > this.most * USERS ? 'user' : 'worker';
  }

  /** Whether who asks for this path is to be let go after the answer. */
  crowded(path: string): boolean {
    return this.full() && kindOf(path) === this.over();
  }

  private makeRoom(): void {
    const now = this.now();
    const over = this.over();
    for (const [s, seen] of this.open) {
      if (now - seen.used < IDLE_MS) return;
      if (seen.busy || (seen.kind !== null && seen.kind !== over)) continue;
      s.destroy();
      return;
    }
  }
}
