/**
 * Reads JSON from external sources. Each reader returns null or undefined if the value does not have the
 * expected form.
 */

/** A JSON object whose fields have not been checked. */
export type JsonObject = Record<string, unknown>;

/** Returns whether a value is an object; arrays and null are not. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Parses a JSON text; returns undefined if it is malformed. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Returns the value if it is a non-empty string, otherwise null. */
export function asNonEmptyString(value: unknown): string | null {
  return typeof value === 'string' && value.length > 0 ? value : null;
}

/** Returns the value if it is a finite number, otherwise null. */
export function asFiniteNumber(value: unknown): number | null {
  return typeof value === 'number' && Number.isFinite(value) ? value : null;
}

/** Returns the value if it is a non-negative integer, otherwise null. */
export function asCount(value: unknown): number | null {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0 ? value : null;
}

/** Looks up a protocol name in a table; returns undefined if the table does not contain it. */
export function lookUp<T>(table: Readonly<Record<string, T>>, key: unknown): T | undefined {
  return typeof key === 'string' && Object.hasOwn(table, key) ? table[key] : undefined;
}
