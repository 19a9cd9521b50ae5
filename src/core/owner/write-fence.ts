import { teamRecord } from '../../wire/record-codec.js';
import { type Clock, type Logger, type Result, type StatePort, type Txn, URGENCY } from '../types.js';

/** Pause before a request that failed is sent again. */
const RETRY_MS = 300;

/** What a fence needs of its controller. */
export interface WriteFenceOptions {
  /** One record a host: a process that follows on the same host goes on from the version it finds. */
  key: string;
  inst: string;
  state: StatePort;
  clock: Clock;
  log: Logger;
  /** Something can be written again. */
  ready(): void;
}

/**
 * Ends the doubt about transactions without an answer.
 *
 * "No response: the request may have been executed, or may yet be executed later." Reading the records again is no
 * barrier: a transaction that was not found may be carried out after that read, as long as nothing it is conditioned on has
 * changed. So every transaction of an owner is conditioned on one record of its own, the fence. Once the fence is seen at
 * another version, no earlier transaction can be carried out any more, and what is read from then on is final. The ordinary
 * path costs a condition and no write; a doubt costs one write.
 */
export class WriteFence {
  /** Null: not known, and to be read before anything is written. */
  private version: number | null = null;
  /** The version that is to be left behind; null: the fence is not being moved. */
  private leaving: number | null = null;
  private waiting: (() => void)[] = [];
  private busy = false;

  constructor(private readonly options: WriteFenceOptions) {}

  /** Reads the fence if it is not known. */
  learn(): void {
    if (this.version === null) this.step();
  }

  /** The condition of a transaction; null: nothing may be written yet, `ready` tells when. */
  condition(): Txn['when'][number] | null {
    this.learn();
    if (this.version === null || this.waiting.length > 0) return null;
    return { key: this.options.key, version: this.version };
  }

  /** Whether a transaction failed for nothing but its fence, and so was surely not executed. It is read anew. */
  isOnlyConflict(result: Result<unknown>): boolean {
    if (result.ok || result.kind !== 'conflict' || !result.failed?.includes(this.options.key)) return false;
    this.version = null;
    return result.failed.length === 1;
  }

  /** Calls back once no transaction sent until now can be carried out any more. */
  move(moved: () => void): void {
    this.waiting.push(moved);
    this.step();
  }

  private step(): void {
    if (this.busy) return;
    if (this.version === null) this.read();
    else if (this.waiting.length > 0) this.write(this.version);
  }

  private read(): void {
    this.busy = true;
    this.options.state.get(this.options.key, URGENCY.user, (result) => {
      if (!result.ok) return this.retry();
      this.busy = false;
      this.version = result.value?.version ?? 0;
      if (this.leaving !== null && this.version !== this.leaving) this.passed();
      else if (this.waiting.length > 0) this.step();
      else this.options.ready();
    });
  }

  private write(version: number): void {
    this.busy = true;
    this.leaving = version;
    const { key, inst, state } = this.options;
    const txn: Txn = { when: [{ key, version }], then: [{ put: key, value: teamRecord.encode({ inst }) }] };
    state.txn(txn, URGENCY.placement, (result) => {
      if (result.ok) {
        this.busy = false;
        this.version = result.value;
        return this.passed();
      }
      if (result.kind === 'refused') return this.retry();
      // Its own answer may be lost, or an earlier write of it carried out late: its version tells.
      this.version = null;
      this.read();
    });
  }

  private passed(): void {
    this.leaving = null;
    const moved = this.waiting;
    this.waiting = [];
    for (const done of moved) done();
    this.options.log.debug({ fence: this.version, waiting: moved.length }, 'write fence moved');
    this.options.ready();
  }

  private retry(): void {
    this.options.clock.after(RETRY_MS, () => {
      this.busy = false;
      this.step();
    });
  }
}
