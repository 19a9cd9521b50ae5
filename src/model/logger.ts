/** Structured logging. */

/** Values logged with a message, by field name. */
export type LogFields = Record<string, unknown>;

/** Writes log lines by level. Messages are constant texts; everything variable is a field. */
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}
