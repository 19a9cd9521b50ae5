import { type Clock, type StateEvent, type StatePort, URGENCY } from './types.js';

/** Least time between two reads on behalf of questions: all that come meanwhile share the next one. */
const READ_GAP_MS = 150;
/** A copy nobody asks about is caught up now and then, or the service would forget the changes it lacks. */
const IDLE_READ_MS = 20000;

/**
 * A copy of all keys under a prefix. While followed it is kept by watching, and may lag; `fresh` brings it up to
 * what was stored when it was called.
 */
export class Mirror {
  readonly items = new Map<string, { value: unknown; version: number; lease: number | undefined }>();
  ready = false;
  /** When the last read that was answered had been sent: all that was stored by then is in the copy. */
  readAsOf = Number.NEGATIVE_INFINITY;
  private rev = 0;
  private listing = false;
  private watching = false;
  private reading = false;
  private readAt = Number.NEGATIVE_INFINITY;
  private readTimer = false;
  private failed = false;
  private asks: ((ok: boolean) => void)[] = [];
  /** Counts listings: an answer asked for before one is not applied after it. */
  private epoch = 0;

  constructor(
    private readonly prefix: string,
    private readonly waitMs: number,
    /** Least time between two watches: each change of a busy prefix must not cost a request of its own. */
    private readonly gapMs: number,
    private readonly state: StatePort,
    private readonly clock: Clock,
    private readonly changed: (key: string, value: unknown, version: number) => void,
    private followed = true,
  ) {}

  start(): void {
    this.list();
    const idle = () => {
      if (!this.followed && this.ready && this.clock.now() - this.readAt > IDLE_READ_MS) this.fresh(() => {});
      this.clock.after(IDLE_READ_MS / 4, idle);
    };
    idle();
  }

  follow(on: boolean): void {
    this.followed = on;
    this.watch();
  }

  /**
   * Calls back once the copy holds everything stored before this call, or with false if that can't be had now. The
   * read that answers a question is always sent after the question came: no answer is older than its question.
   */
  fresh(cb: (ok: boolean) => void): void {
    // After a read has failed or hung nobody is kept waiting for the next: it probes, and those that come meanwhile
    // are answered at once.
    if (this.failing) {
      this.probe();
      return cb(false);
    }
    this.asks.push(cb);
    this.read();
  }

  /** The last read failed; told on the next question, or by asking for a read. */
  get failing(): boolean {
    return this.failed;
  }

  probe(): void {
    if (this.asks.length > 0 || this.reading) return;
    this.asks.push(() => {});
    this.read();
  }

  private read(): void {
    if (this.reading || this.readTimer || this.asks.length === 0) return;
    const now = this.clock.now();
    if (!this.ready || this.listing) {
      for (const cb of this.asks.splice(0)) cb(false);
      return;
    }
    const wait = this.readAt + READ_GAP_MS - now;
    if (wait > 0) {
      this.readTimer = true;
      this.clock.after(wait, () => {
        this.readTimer = false;
        this.read();
      });
      return;
    }
    this.readAt = now;
    this.reading = true;
    const mine = this.asks.splice(0);
    const epoch = this.epoch;
    this.state.watch(this.prefix, this.rev, 0, (r) => {
      this.reading = false;
      const ok = r.ok && epoch === this.epoch;
      this.failed = !r.ok;
      if (ok) {
        this.apply(r.value);
        this.readAsOf = now;
      } else if (!r.ok && r.kind === 'gone') this.list();
      for (const cb of mine) cb(ok);
      this.read();
    });
  }

  private list(): void {
    if (this.listing) return;
    this.listing = true;
    this.epoch++;
    const seen = new Set<string>();
    let first = 0;
    const page = (since: string) => {
      this.state.list(this.prefix, since, URGENCY.user, (r) => {
        if (!r.ok) {
          this.clock.after(300, () => {
            this.listing = false;
            this.list();
          });
          return;
        }
        if (first === 0) first = r.value.rev;
        for (const it of r.value.items) {
          seen.add(it.key);
          this.set(it.key, it.value, it.version, it.lease);
        }
        const last = r.value.items.at(-1);
        if (r.value.more && last) return page(last.key);
        for (const key of [...this.items.keys()]) if (!seen.has(key)) this.drop(key, first);
        this.rev = first;
        this.listing = false;
        this.ready = true;
        this.watch();
      });
    };
    page(this.prefix);
  }

  private watch(): void {
    if (!this.followed || this.watching || this.listing || !this.ready) return;
    this.watching = true;
    const began = this.clock.now();
    const epoch = this.epoch;
    const again = (ms: number) =>
      this.clock.after(ms, () => {
        this.watching = false;
        this.watch();
      });
    this.state.watch(this.prefix, this.rev, this.waitMs, (r) => {
      if (r.ok) {
        if (epoch === this.epoch) this.apply(r.value);
        return void again(Math.max(0, began + this.gapMs - this.clock.now()));
      }
      if (r.kind === 'refused') return void again(250);
      // History lost, or the answer was: read the keys again.
      this.watching = false;
      if (r.kind === 'gone') this.list();
      else this.clock.after(250, () => this.list());
    });
  }

  /**
   * Takes the changes of an answer. Two reads may be under way at once: what an earlier answer already told is passed
   * over, or a key dropped since would come back; of several changes of a key only the last counts.
   */
  private apply(v: { rev: number; events: StateEvent[] }): void {
    if (v.rev <= this.rev) return;
    const last = new Map<string, StateEvent>();
    for (const e of v.events) if (e.version > this.rev) last.set(e.key, e);
    this.rev = v.rev;
    for (const e of last.values()) {
      if (e.gone) this.drop(e.key, e.version);
      else this.set(e.key, e.value, e.version, undefined);
    }
  }

  private set(key: string, value: unknown, version: number, lease: number | undefined): void {
    const cur = this.items.get(key);
    if (cur && cur.version >= version) return;
    this.items.set(key, { value, version, lease });
    this.changed(key, value, version);
  }

  private drop(key: string, version: number): void {
    const cur = this.items.get(key);
    if (!cur || cur.version > version) return;
    this.items.delete(key);
    this.changed(key, undefined, version);
  }
}
