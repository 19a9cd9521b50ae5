/**
 * Encodes the finished tasks of a job as text for its counter record.
 *
 * The text consists of runs `<unfinished>.<finished>` in base 36, separated by commas. Tasks finish roughly
 * in release order, so the record of a job with 100,000 tasks stays small. If the runs would be longer than
 * the plain bitmap, the text is `=` followed by the bitmap in base64.
 */

import type { DependencyCounter } from '../model/dependency-counter.js';

const RADIX = 36;
const PLAIN_MARKER = '=';
/** Base64 encodes six bits per character; the overhead allows for padding and the marker. */
const BITS_PER_CHARACTER = 6;
const PLAIN_OVERHEAD = 4;

/** Encodes the finished tasks of a job as text; the inverse of `decodeCompletionBitmap`. */
export function encodeCompletionBitmap(counter: DependencyCounter): string {
  const { inputCount } = counter;
  const plainLength = Math.ceil(inputCount / BITS_PER_CHARACTER) + PLAIN_OVERHEAD;
  const runs: string[] = [];
  let length = 0;
  let input = 0;
  while (input < inputCount) {
    const unfinishedFrom = input;
    while (input < inputCount && !counter.has(input)) input++;
    if (input >= inputCount) break;
    const finishedFrom = input;
    while (input < inputCount && counter.has(input)) input++;
    const unfinished = (finishedFrom - unfinishedFrom).toString(RADIX);
    const run = `${unfinished}.${(input - finishedFrom).toString(RADIX)}`;
    runs.push(run);
    length += run.length + 1;
    if (length > plainLength) return `${PLAIN_MARKER}${counter.encodeBits(0, counter.bits.length)}`;
  }
  return runs.join(',');
}

/** Counts the tasks that the stored text lists as finished. */
export function decodeCompletionBitmap(counter: DependencyCounter, text: string): void {
  if (text.startsWith(PLAIN_MARKER)) {
    counter.mergeBits(0, text.slice(PLAIN_MARKER.length));
    return;
  }
  let input = 0;
  for (const run of text.split(',')) {
    if (run === '') continue;
    const [unfinished, finished] = run.split('.');
    input += Number.parseInt(unfinished ?? '0', RADIX);
    const end = input + Number.parseInt(finished ?? '0', RADIX);
    while (input < end) counter.add(input++);
  }
}
