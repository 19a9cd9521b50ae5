/** Reading JSON that comes from outside: each reader gives null, or undefined, for what is not of the expected form. */

/** An object of which nothing is known but that it is one. */
export type JsonObject = Record<string, unknown>;

/** Whether a value is an object; lists and null are none. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The value of a JSON text; undefined if it is malformed. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** A string of at least one character, or null. */
export function asNonEmptyString(value: unknown): string | null {
  return typeof value === 'string' && value.length > 0 ? value : null;
}

/** A number, or null. */
export function asFiniteNumber(value: unknown): number | null {
  return typeof value === 'number' && Number.isFinite(value) ? value : null;
}

/** An integer of at least 0, or null. */
export function asCount(value: unknown): number | null {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0 ? value : null;
}

/** What a word of the protocol stands for; undefined if the table does not list it. */
export function lookUp<T>(meanings: Readonly<Record<string, T>>, word: unknown): T | undefined {
  return typeof word === 'string' && Object.hasOwn(meanings, word) ? meanings[word] : undefined;
}
