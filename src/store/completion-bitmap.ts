/**
 * The finished tasks of a job as the text in its counter record.
 *
 * Runs `<unfinished>.<finished>` in base 36, joined by commas: tasks end roughly in the order of their release, so a record
 * of 100,000 tasks stays small. Where runs would be longer than the plain bits, those are kept: `=` and their base 64.
 */

import type { DependencyCounter } from '../model/dependency-counter.js';

const RADIX = 36;
const PLAIN_MARKER = '=';
/** Base 64 has six bits to a character, and a few characters around them. */
const BITS_PER_CHARACTER = 6;
const PLAIN_OVERHEAD = 4;

/** The text that `decodeCompletionBitmap` takes. */
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

/** Counts the tasks that a stored text has as finished. */
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
