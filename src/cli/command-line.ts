/** The command line: commands, options and exit codes. */

import { Command, CommanderError } from 'commander';
import { SettingsError } from '../config/settings-error.js';

/** Exit codes of the program. */
export const EXIT_CODE = {
  success: 0,
  /** A defect, or the HTTP server can't listen. */
  failure: 1,
  /** A wrong command line, settings or policy. */
  usage: 2,
} as const;

/** Options of every command. */
export interface CommandOptions {
  /** The settings file. */
  config: string;
  /** The policy file; absent: the one delivered with the program. */
  policy?: string;
}

/** What the commands do. They throw {@link SettingsError} if settings or policy can't be used. */
export interface CommandHandlers {
  /** Runs a controller; this is also done without a command. */
  serve: (options: CommandOptions) => void;
  /** Checks settings and policy. */
  check: (options: CommandOptions) => void;
}

function createProgram(handlers: CommandHandlers): Command {
  const program = new Command('juniperstand')
    .description('Cluster scheduler: takes jobs, rents machines, runs tasks.')
    .exitOverride()
    .showHelpAfterError();
  const withOptions = (command: Command) =>
    command
      .requiredOption('--config <file>', 'settings file (TOML)')
      .option('--policy <file>', "operators' policy (TOML of expressions)")
      .allowExcessArguments(false);
  withOptions(program.command('serve', { isDefault: true }).description('run a controller')).action(
    handlers.serve,
  );
  withOptions(program.command('check').description('check settings and policy, and stop')).action(
    (options: CommandOptions) => {
      handlers.check(options);
      process.stdout.write('ok\n');
    },
  );
  return program;
}

/**
 * Runs the command of the process's arguments. Faults of settings and policy go to standard error, one a line, and end
 * the process, as does a wrong command line; other errors are thrown.
 */
export function runCommandLine(handlers: CommandHandlers): void {
  try {
    createProgram(handlers).parse();
  } catch (error) {
    if (error instanceof SettingsError) {
      for (const issue of error.issues) process.stderr.write(`${issue}\n`);
      process.exit(EXIT_CODE.usage);
    }
    // Thrown after the help or the complaint has been written.
    if (error instanceof CommanderError)
      process.exit(error.exitCode === 0 ? EXIT_CODE.success : EXIT_CODE.usage);
    throw error;
  }
}
