import type { Clock } from '../model/clock.js';
import { type KeyValueStore, URGENCY, type WatchEvent, type WatchReply } from '../model/key-value-store.js';

/** Least time between two reads on behalf of questions: all that come meanwhile share the next one. */
const READ_INTERVAL_MS = 150;
/** A copy nobody asks about is caught up now and then, or the service would forget the changes it lacks. */
const IDLE_READ_INTERVAL_MS = 20000;

/**
 * A copy of all keys under a prefix. While followed it is kept by watching, and may lag; `fresh` brings it up to
 * what was stored when it was called.
 */
export class WatchCache {
  readonly items = new Map<string, { value: unknown; modRevision: number; leaseId: number | undefined }>();
  isReady = false;
  /** When the last read that was answered had been sent: all that was stored by then is in the copy. */
  freshAsOf = Number.NEGATIVE_INFINITY;
  private storeRevision = 0;
  private listing = false;
  private watching = false;
  private reading = false;
  private readAt = Number.NEGATIVE_INFINITY;
  private readTimer = false;
  private failed = false;
  private waitingReads: ((ok: boolean) => void)[] = [];
  /** Counts listings: an answer asked for before one is not applied after it. */
  private listEpoch = 0;

  constructor(
    private readonly prefix: string,
    private readonly waitMs: number,
    /** Least time between two watches: each change of a busy prefix must not cost a request of its own. */
    private readonly watchIntervalMs: number,
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly onChange: (key: string, value: unknown, version: number) => void,
    private isFollowed = true,
  ) {}

  start(): void {
    this.list();
    const idle = () => {
      if (!this.isFollowed && this.isReady && this.clock.now() - this.readAt > IDLE_READ_INTERVAL_MS)
        this.linearizableRead(() => {});
      this.clock.after(IDLE_READ_INTERVAL_MS / 4, idle);
    };
    idle();
  }

  follow(on: boolean): void {
    this.isFollowed = on;
    this.watch();
  }

  /**
   * Calls back once the copy holds everything stored before this call, or with false if that can't be had now. The
   * read that answers a question is always sent after the question came: no answer is older than its question.
   */
  linearizableRead(callback: (ok: boolean) => void): void {
    // After a read has failed or hung nobody is kept waiting for the next: it probes, and those that come meanwhile
    // are answered at once.
    if (this.isFailing) {
      this.requestRead();
      return callback(false);
    }
    this.waitingReads.push(callback);
    this.read();
  }

  /** The last read failed; told on the next question, or by asking for a read. */
  get isFailing(): boolean {
    return this.failed;
  }

  requestRead(): void {
    if (this.waitingReads.length > 0 || this.reading) return;
    this.waitingReads.push(() => {});
    this.read();
  }

  private read(): void {
    if (this.reading || this.readTimer || this.waitingReads.length === 0) return;
    const now = this.clock.now();
    if (!this.isReady || this.listing) {
      for (const callback of this.waitingReads.splice(0)) callback(false);
      return;
    }
    const wait = this.readAt + READ_INTERVAL_MS - now;
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
    const mine = this.waitingReads.splice(0);
    const epoch = this.listEpoch;
    this.store.watch({ prefix: this.prefix, sinceRevision: this.storeRevision, waitMs: 0 }, (result) => {
      this.reading = false;
      const ok = result.ok && epoch === this.listEpoch;
      this.failed = !result.ok;
      if (ok) {
        this.apply(result.value);
        this.freshAsOf = now;
      } else if (!result.ok && result.kind === 'notFound') this.list();
      for (const callback of mine) callback(ok);
      this.read();
    });
  }

  private list(): void {
    if (this.listing) return;
    this.listing = true;
    this.listEpoch++;
    const seen = new Set<string>();
    let first = 0;
    const page = (startAfter: string) => {
      this.store.list({ prefix: this.prefix, startAfter, urgency: URGENCY.user }, (result) => {
        if (!result.ok) {
          this.clock.after(300, () => {
            this.listing = false;
            this.list();
          });
          return;
        }
        if (first === 0) first = result.value.storeRevision;
        for (const item of result.value.items) {
          seen.add(item.key);
          this.set(item.key, item.value, item.modRevision, item.leaseId);
        }
        const last = result.value.items.at(-1);
        if (result.value.hasMore && last) return page(last.key);
        for (const key of [...this.items.keys()]) if (!seen.has(key)) this.drop(key, first);
        this.storeRevision = first;
        this.listing = false;
        this.isReady = true;
        this.watch();
      });
    };
    page(this.prefix);
  }

  private watch(): void {
    if (!this.isFollowed || this.watching || this.listing || !this.isReady) return;
    this.watching = true;
    const began = this.clock.now();
    const epoch = this.listEpoch;
    const again = (ms: number) =>
      this.clock.after(ms, () => {
        this.watching = false;
        this.watch();
      });
    const request = { prefix: this.prefix, sinceRevision: this.storeRevision, waitMs: this.waitMs };
    this.store.watch(request, (result) => {
      if (result.ok) {
        if (epoch === this.listEpoch) this.apply(result.value);
        return void again(Math.max(0, began + this.watchIntervalMs - this.clock.now()));
      }
      if (result.kind === 'refused') return void again(250);
      // History lost, or the answer was: read the keys again.
      this.watching = false;
      if (result.kind === 'notFound') this.list();
      else this.clock.after(250, () => this.list());
    });
  }

  /**
   * Takes the changes of an answer. Two reads may be under way at once: what an earlier answer already told is passed
   * over, or a key dropped since would come back; of several changes of a key only the last counts.
   */
  private apply(v: WatchReply): void {
    if (v.storeRevision <= this.storeRevision) return;
    const last = new Map<string, WatchEvent>();
    for (const event of v.events) if (event.modRevision > this.storeRevision) last.set(event.key, event);
    this.storeRevision = v.storeRevision;
    for (const event of last.values()) {
      if (event.type === 'delete') this.drop(event.key, event.modRevision);
      else this.set(event.key, event.value, event.modRevision, undefined);
    }
  }

  private set(key: string, value: unknown, version: number, lease: number | undefined): void {
    const cur = this.items.get(key);
    if (cur && cur.modRevision >= version) return;
    this.items.set(key, { value, modRevision: version, leaseId: lease });
    this.onChange(key, value, version);
  }

  private drop(key: string, version: number): void {
    const cur = this.items.get(key);
    if (!cur || cur.modRevision > version) return;
    this.items.delete(key);
    this.onChange(key, undefined, version);
  }
}
