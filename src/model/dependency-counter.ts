/** What is left of a job: which of its tasks are finished, and which may be released next. */

/**
 * Counts the inputs of a node of the release graph. A node is released when all of its inputs are counted: a job is a fan-out
 * from its release (a leaf, without inputs) to its tasks, and a fan-in from them to its completion.
 */
export class DependencyCounter {
  /** One bit an input, from the lowest bit of the first byte on. */
  readonly bits: Uint8Array;
  /** Inputs counted. */
  count = 0;

  constructor(readonly inputCount: number) {
    this.bits = new Uint8Array((inputCount + 7) >> 3);
  }

  has(input: number): boolean {
    return ((this.bits[input >> 3] ?? 0) & (1 << (input & 7))) !== 0;
  }

  /** Counts an input once; false: it was counted before, or there is no such input. */
  add(input: number): boolean {
    if (input < 0 || input >= this.inputCount || this.has(input)) return false;
    this.bits[input >> 3] = (this.bits[input >> 3] ?? 0) | (1 << (input & 7));
    this.count++;
    return true;
  }

  get isComplete(): boolean {
    return this.count >= this.inputCount;
  }

  /** Bytes [from, to) of the bits in base 64. */
  encodeBits(from: number, to: number): string {
    return Buffer.from(this.bits.subarray(from, to)).toString('base64');
  }

  /** Counts the inputs of encoded bytes, of which the first is byte `from`. */
  mergeBits(from: number, encoded: string): void {
    for (const [index, byte] of Buffer.from(encoded, 'base64').entries())
      for (let bit = 0; bit < 8; bit++) if (byte & (1 << bit)) this.add((from + index) * 8 + bit);
  }
}

/**
 * Inputs not yet begun, in the order of release: untouched ones by a cursor, returned ones ahead of them. Release never runs
 * further than `window` ahead of the first input not yet counted.
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

  /** Begins behind the inputs that were counted before. */
  skipCounted(isCounted: (input: number) => boolean): void {
    while (this.next < this.size && isCounted(this.next)) this.next++;
  }

  /** Takes the next input that `isTaken` does not exclude, or -1. */
  takeNext(isTaken: (input: number) => boolean, isCounted: (input: number) => boolean): number {
    for (
      let input = this.returnedInOrder.shift();
      input !== undefined;
      input = this.returnedInOrder.shift()
    ) {
      this.returned.delete(input);
      if (!isTaken(input)) return input;
    }
    while (this.firstUncounted < this.next && isCounted(this.firstUncounted)) this.firstUncounted++;
    while (this.next < this.size && this.next - this.firstUncounted < this.window) {
      const input = this.next++;
      if (!isTaken(input)) return input;
    }
    return -1;
  }

  /** Inputs that may be taken now, in the order in which they would be. */
  listAvailable(isTaken: (input: number) => boolean): number[] {
    const waiting = this.returnedInOrder.filter((input) => !isTaken(input));
    for (let input = this.next; input < this.size && input - this.firstUncounted < this.window; input++)
      if (!isTaken(input)) waiting.push(input);
    return waiting;
  }

  /** An input that lost its place goes to the front. */
  putBack(input: number): void {
    if (input >= this.next || this.returned.has(input)) return;
    this.returned.add(input);
    this.returnedInOrder.push(input);
  }
}
