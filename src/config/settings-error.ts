/** The error of settings and policy, and reading of the files they come from. */

import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';

/** Settings or a policy can't be used. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /**
   * @param issues what is wrong, one line each, named with its field where it has one; at least one
   * @param options `cause`: the error that was wrapped, if any
   */
  constructor(
    readonly issues: string[],
    options?: ErrorOptions,
  ) {
    super(issues.join('\n'), options);
  }
}

/** The message of whatever was thrown. */
export function errorMessage(error: unknown): string {
  return String(error instanceof Error ? error.message : error);
}

/** Reads a text file. Throws {@link SettingsError} if it can't be read. */
export function readTextFile(file: string | URL): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError([`cannot read ${String(file)}: ${errorMessage(error)}`], { cause: error });
  }
}

/** Parses TOML. Throws {@link SettingsError} whose fault begins with `complaint` if the text is none. */
export function parseTomlTable(text: string, errorPrefix: string): Record<string, unknown> {
  try {
    return parseToml(text);
  } catch (error) {
    // The lines after the first show the place in the text.
    const [firstLine] = errorMessage(error).split('\n');
    throw new SettingsError([`${errorPrefix}: ${firstLine}`], { cause: error });
  }
}
