/** Tracks which tasks of a job are finished and which may be released (given a slot to run in) next. */

/**
 * Counts the completed inputs of a node in a job's release graph. A node is released when all its inputs are
 * counted. A job is a fan-out from its release (a leaf without inputs) to its tasks and a fan-in from the
 * tasks to its completion.
 */
export class DependencyCounter {
  /** The bitmap of the counted inputs: one bit per input, starting with the lowest bit of the first byte. */
  readonly bits: Uint8Array;
  /** Number of inputs counted. */
  count = 0;

  constructor(readonly inputCount: number) {
    this.bits = new Uint8Array((inputCount + 7) >> 3);
  }

  /** Returns whether an input has been counted. */
  has(input: number): boolean {
    return ((this.bits[input >> 3] ?? 0) & (1 << (input & 7))) !== 0;
  }

  /** Counts an input. Returns false if it was counted before or does not exist. */
  add(input: number): boolean {
    if (input < 0 || input >= this.inputCount || this.has(input)) return false;
    this.bits[input >> 3] = (this.bits[input >> 3] ?? 0) | (1 << (input & 7));
    this.count++;
    return true;
  }

  /** Whether all inputs have been counted. */
  get isComplete(): boolean {
    return this.count >= this.inputCount;
  }

  /** Returns bytes [from, to) of the bitmap of counted inputs, in base64. */
  encodeBits(from: number, to: number): string {
    return Buffer.from(this.bits.subarray(from, to)).toString('base64');
  }

  /**
   * Counts the inputs whose bits are set in base64-encoded bytes of the bitmap, the first of which is byte
   * `from`.
   */
  mergeBits(from: number, encoded: string): void {
    for (const [index, byte] of Buffer.from(encoded, 'base64').entries())
      for (let bit = 0; bit < 8; bit++) if (byte & (1 << bit)) this.add((from + index) * 8 + bit);
  }
}

/**
 * The inputs that have not been started, in release order: those that were put back first, then the ones
 * after a cursor. The cursor never runs further than `window` ahead of the first input that is not counted.
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

  /** Moves the cursor past the leading inputs that are already counted. */
  skipCounted(isCounted: (input: number) => boolean): void {
    while (this.next < this.size && isCounted(this.next)) this.next++;
  }

  /** Takes the next input that `isTaken` does not exclude. Returns -1 if none is available. */
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

  /**
   * Returns the inputs that may be taken now, without taking them, in the order in which `takeNext` would
   * return them.
   */
  listAvailable(isTaken: (input: number) => boolean): number[] {
    const available = this.returnedInOrder.filter((input) => !isTaken(input));
    for (let input = this.next; input < this.size && input - this.firstUncounted < this.window; input++)
      if (!isTaken(input)) available.push(input);
    return available;
  }

  /**
   * Puts back an input that was taken and has lost its slot, so that it is taken again before the inputs
   * after the cursor.
   */
  putBack(input: number): void {
    if (input >= this.next || this.returned.has(input)) return;
    this.returned.add(input);
    this.returnedInOrder.push(input);
  }
}
