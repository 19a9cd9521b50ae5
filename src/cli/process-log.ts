/** Process-wide logger and logging of unhandled errors. */

import { pino } from 'pino';
import type { Logger } from '../model/logger.js';
import { EXIT_CODE } from './command-line.js';

const LOG_LEVELS = ['error', 'info', 'debug'];
const DEFAULT_LOG_LEVEL = 'info';
const STDERR_FD = 2;

/**
 * Creates a logger that writes JSON lines to standard error. The environment variable `LOG_LEVEL` sets the
 * level. Writes are synchronous, so that the last lines before an exit are not lost.
 */
export function createLogger(nodeName: string): Logger {
  const level = process.env.LOG_LEVEL ?? DEFAULT_LOG_LEVEL;
  return pino(
    { level: LOG_LEVELS.includes(level) ? level : DEFAULT_LOG_LEVEL, base: { nodeName } },
    pino.destination({ dest: STDERR_FD, sync: true }),
  );
}

/** Logs uncaught exceptions, which exit the process, and unhandled promise rejections, which do not. */
export function logUnhandledErrors(log: Logger): void {
  process.on('uncaughtException', (error) => {
    log.error({ err: error.stack ?? String(error) }, 'uncaught exception');
    process.exit(EXIT_CODE.failure);
  });
  process.on('unhandledRejection', (reason) =>
    log.error({ err: reason instanceof Error ? reason.stack : String(reason) }, 'unhandled rejection'),
  );
}
