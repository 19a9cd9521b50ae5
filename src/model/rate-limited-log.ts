/** Logging at a limited rate. */

import type { Clock } from './clock.js';
import type { LogFields, Logger } from './logger.js';

/** Lines of one message that are let through in a window. */
const LINES_PER_WINDOW = 20;
const WINDOW_MS = 10_000;

interface Window {
  startedAt: number;
  lines: number;
  suppressed: number;
}

/**
 * Keeps lines that a fault repeats from drowning the others: of each message at most 20 lines in 10 s. The first line of the next
 * window says in `suppressed` how many were left out.
 */
export class RateLimitedLog {
  private readonly windows = new Map<string, Window>();

  constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
  ) {}

  /** Logs a line unless its message has used up its window. */
  info(fields: LogFields, message: string): void {
    const extra = this.admit(message);
    if (extra) this.log.info({ ...fields, ...extra }, message);
  }

  /** Fields to add; null: the line is left out. */
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
