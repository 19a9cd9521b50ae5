/** Collects what was sent, answered and run, and writes it to `record.txt` of a case. */

import { createWriteStream } from 'node:fs';

export class Record {
  /** @param {string} file - path of the record file, which is overwritten */
  constructor(file) {
    this.startedAt = performance.now();
    this.stream = createWriteStream(file);
  }

  /** Seconds since the record was started. */
  now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  /** Writes one line: time, who, and what. */
  line(who, what) {
    this.stream.write(`${this.now().toFixed(3).padStart(8)} ${who.padEnd(12)} ${what}\n`);
  }

  close() {
    return new Promise((resolve) => this.stream.end(resolve));
  }
}
