/** Error type and file reading shared by settings and policy. */

import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';

/** Thrown when settings or a policy cannot be read or are invalid. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /**
   * @param issues - at least one description of a problem, each a single line that names its field, if any
   * @param options - `cause` is the wrapped error, if any
   */
  constructor(
    readonly issues: string[],
    options?: ErrorOptions,
  ) {
    super(issues.join('\n'), options);
  }
}

/** Returns the message of a caught value, which need not be an `Error`. */
export function getErrorMessage(error: unknown): string {
  return String(error instanceof Error ? error.message : error);
}

/** Reads a text file. Throws a {@link SettingsError} if that fails. */
export function readTextFile(file: string | URL): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError([`cannot read ${String(file)}: ${getErrorMessage(error)}`], { cause: error });
  }
}

/** Parses TOML. A syntax error throws a {@link SettingsError} whose message starts with `errorPrefix`. */
export function parseTomlTable(text: string, errorPrefix: string): Record<string, unknown> {
  try {
    return parseToml(text);
  } catch (error) {
    // The lines after the first one show an excerpt of the text.
    const [firstLine] = getErrorMessage(error).split('\n');
    throw new SettingsError([`${errorPrefix}: ${firstLine}`], { cause: error });
  }
}
