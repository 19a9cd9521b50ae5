/** Rate-limited logging. */

import type { Clock } from './clock.js';
import type { LogFields, Logger } from './logger.js';

/** Maximum number of lines of one message per window. */
const LINES_PER_WINDOW = 20;
const WINDOW_MS = 10_000;

interface Window {
  startedAt: number;
  lines: number;
  suppressed: number;
}

/**
 * Keeps the repeated lines of one fault from flooding the log: each message is logged at most 20 times in 10
 * s. The first line of the next window reports the number of dropped lines in `suppressed`.
 */
export class RateLimitedLog {
  private readonly windows = new Map<string, Window>();

  constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
  ) {}

  /** Logs a line unless its message has used up its limit in this window. */
  info(fields: LogFields, message: string): void {
    const extra = this.admit(message);
    if (extra) this.log.info({ ...fields, ...extra }, message);
  }

  /** Returns the fields to add to the line, or null if the line is dropped. */
  private admit(message: string): LogFields | null {
    const now = this.clock.now();
    let window = this.windows.get(message);
    let extra: LogFields = {};
    if (!window || now - window.startedAt >= WINDOW_MS) {
      if (window && window.suppressed > 0) extra = { suppressed: window.suppressed };
      window = { startedAt: now, lines: 0, suppressed: 0 };
      this.windows.set(message, window);
    }
    if (window.lines >= LINES_PER_WINDOW) {
      window.suppressed++;
      return null;
    }
    window.lines++;
    return extra;
  }
}
