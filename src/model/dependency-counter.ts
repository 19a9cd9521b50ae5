/**
 * The release graph. A node has inputs; it is released when all of them are counted. A job is a
 * fan-out from its release (a leaf: no inputs) to its tasks, and a fan-in from them to its completion.
 */
export class DependencyCounter {
  readonly bits: Uint8Array;
  count = 0;

  constructor(readonly inputCount: number) {
    this.bits = new Uint8Array((inputCount + 7) >> 3);
  }

  has(i: number): boolean {
    return ((this.bits[i >> 3] ?? 0) & (1 << (i & 7))) !== 0;
  }

  /** Counts an input once; a repeat adds nothing. */
  add(i: number): boolean {
    if (i < 0 || i >= this.inputCount || this.has(i)) return false;
    this.bits[i >> 3] = (this.bits[i >> 3] ?? 0) | (1 << (i & 7));
    this.count++;
    return true;
  }

  get isFull(): boolean {
    return this.count >= this.inputCount;
  }

  /** Bytes [from, to) of the record, as stored. */
  encodeBits(from: number, to: number): string {
    return Buffer.from(this.bits.subarray(from, to)).toString('base64');
  }

  mergeBits(from: number, stored: string): void {
    const b = Buffer.from(stored, 'base64');
    for (let k = 0; k < b.length; k++) {
      const byte = b[k] ?? 0;
      for (let j = 0; j < 8; j++) if (byte & (1 << j)) this.add((from + k) * 8 + j);
    }
  }
}

/**
 * Inputs not yet begun, in release order: untouched ones by a cursor, returned ones ahead of them. Release
 * never runs further than `window` ahead of the first input not yet counted.
 */
export class FanOut {
  private next = 0;
  private firstUncounted = 0;
  private returnedInOrder: number[] = [];
  private readonly returned = new Set<number>();

  constructor(
    readonly size: number,
    readonly window: number,
  ) {}

  skipTo(isCounted: (i: number) => boolean): void {
    while (this.next < this.size && isCounted(this.next)) this.next++;
  }

  /** Takes the next input that `taken` does not exclude, or -1. */
  takeNext(isTaken: (i: number) => boolean, isCounted: (i: number) => boolean): number {
    while (this.returnedInOrder.length > 0) {
      const i = this.returnedInOrder.shift() as number;
      this.returned.delete(i);
      if (!isTaken(i)) return i;
    }
    while (this.firstUncounted < this.next && isCounted(this.firstUncounted)) this.firstUncounted++;
    while (this.next < this.size && this.next - this.firstUncounted < this.window) {
      const i = this.next++;
      if (!isTaken(i)) return i;
    }
    return -1;
  }

  /** Inputs that may be taken now, in the order in which they would be. */
  waiting(taken: (i: number) => boolean): number[] {
    const waiting = this.returnedInOrder.filter((i) => !taken(i));
    for (let i = this.next; i < this.size && i - this.firstUncounted < this.window; i++)
      if (!taken(i)) waiting.push(i);
    return waiting;
  }

  /** A successor that lost its place goes to the front. */
  putBack(i: number): void {
    if (i >= this.next || this.returned.has(i)) return;
    this.returned.add(i);
    this.returnedInOrder.push(i);
  }
}
