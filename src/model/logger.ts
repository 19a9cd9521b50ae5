/** Structured logging. */

export type LogFields = Record<string, unknown>;

export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}
