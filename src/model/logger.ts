/** Structured logging. */

/** Values that go with a message, by name. */
export type LogFields = Record<string, unknown>;

/** Takes log lines by level. Messages are constant texts; whatever varies is a field. */
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}
