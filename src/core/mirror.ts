import type { Clock, StatePort } from './types.js';

/** A copy of all keys under a prefix, kept by watching. It may lag; nothing rests on its being current. */
export class Mirror {
  readonly items = new Map<string, { value: unknown; version: number; lease: number | undefined }>();
  ready = false;
  private rev = 0;

  constructor(
    private readonly prefix: string,
    private readonly waitMs: number,
    private readonly state: StatePort,
    private readonly clock: Clock,
    private readonly changed: (key: string, value: unknown, version: number) => void,
  ) {}

  start(): void {
    this.list();
  }

  private again(ms: number, fn: () => void): void {
    this.clock.after(ms, fn);
  }

  private list(): void {
    const seen = new Set<string>();
    let first = 0;
    const page = (since: string) => {
      this.state.list(this.prefix, since, 1, (r) => {
        if (!r.ok) return this.again(300, () => this.list());
        if (first === 0) first = r.value.rev;
        for (const it of r.value.items) {
          seen.add(it.key);
          this.set(it.key, it.value, it.version, it.lease);
        }
        const last = r.value.items.at(-1);
        if (r.value.more && last) return page(last.key);
        for (const key of [...this.items.keys()]) if (!seen.has(key)) this.drop(key, first);
        this.rev = first;
        this.ready = true;
        this.watch();
      });
    };
    page(this.prefix);
  }

  private watch(): void {
    this.state.watch(this.prefix, this.rev, this.waitMs, (r) => {
      if (!r.ok) {
        // History lost, or the answer was: read the keys again.
        return this.again(r.kind === 'gone' ? 0 : 250, () =>
          r.kind === 'refused' ? this.watch() : this.list(),
        );
      }
      for (const e of r.value.events) {
        if (e.gone) this.drop(e.key, e.version);
        else this.set(e.key, e.value, e.version, undefined);
      }
      this.rev = Math.max(this.rev, r.value.rev);
      this.watch();
    });
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
