/** Command line interface: commands, options and exit codes. */

import { Command, CommanderError } from 'commander';
import { SettingsError } from '../config/settings-error.js';

/** Exit codes of the program. */
export const EXIT_CODE = {
  success: 0,
  /** An uncaught exception, or the HTTP server failed to listen. */
  failure: 1,
  /** Invalid command line, settings or policy. */
  usage: 2,
} as const;

/** Options of all commands. */
export interface CommandOptions {
  /** Path of the settings file. */
  config: string;
  /** Path of the policy file. Absent: the default policy shipped with the program. */
  policy?: string;
}

/** Handlers of the commands. They throw a {@link SettingsError} if the settings or the policy are invalid. */
export interface CommandHandlers {
  /** Runs a controller. This is the default command. */
  serve: (options: CommandOptions) => void;
  /** Validates the settings and the policy. */
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
 * Parses the process arguments and runs the command. Issues of the command line, settings or policy go to
 * standard error, one per line, and the process exits with code 2. After printing help, it exits with code 0.
 * Other errors are rethrown.
 */
export function runCommandLine(handlers: CommandHandlers): void {
  try {
    createProgram(handlers).parse();
  } catch (error) {
    if (error instanceof SettingsError) {
      for (const issue of error.issues) process.stderr.write(`${issue}\n`);
      process.exit(EXIT_CODE.usage);
    }
    // Commander throws this after writing the help or the error message.
    if (error instanceof CommanderError)
      process.exit(error.exitCode === 0 ? EXIT_CODE.success : EXIT_CODE.usage);
    throw error;
  }
}
