/**
 * Reads a command line for both programs with meow. Unknown and repeated flags
 * are usage errors; `--help` and `--version` work among other arguments.
 */
import meow, { type AnyFlags, type Options } from "meow";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import { RouterError } from "../types/errors.ts";
import { formatSuggestion } from "./nearest_name.ts";

/** What a program was asked to do. */
export enum CommandLineRequest {
  Run = "run",
  Help = "help",
  Version = "version",
}

/** A command line after reading, with the flags typed by their declaration. */
export interface CommandLine<F extends AnyFlags> {
  readonly request: CommandLineRequest;
  readonly input: readonly string[];
  readonly flags: ReturnType<typeof meow<F>>["flags"];
  readonly help: string;
  readonly version: string;
}

/** What a program accepts. */
export interface CommandLineOptions<F extends AnyFlags> {
  readonly importMeta: ImportMeta;
  readonly arguments: readonly string[];
  readonly flags: F;
  readonly help: string;
}

const commonFlagNames = ["help", "version"];

/** Reads the arguments; fails with `CommandLineInvalid`. */
export function readCommandLine<const F extends AnyFlags>(
  options: CommandLineOptions<F>,
): Result<CommandLine<F>, RouterError> {
  try {
    return parseArguments(options);
  } catch (error) {
    return err(createUsageError((error as Error).message));
  }
}

function parseArguments<const F extends AnyFlags>(
  options: CommandLineOptions<F>,
): Result<CommandLine<F>, RouterError> {
  const cli = meow<F>(
    {
      importMeta: options.importMeta,
      argv: options.arguments,
      flags: options.flags,
      help: options.help,
      description: false,
      autoHelp: false,
      autoVersion: false,
      inferType: false,
    } satisfies Options<F>,
  );
  const known = [...Object.keys(options.flags), ...commonFlagNames];
  const unknown = Object.keys(cli.flags).find((name) => !known.includes(name));
  if (unknown !== undefined) {
    return err(createUsageError(describeUnknownFlag(unknown, known)));
  }
  return ok({
    request: requestOf(cli.flags),
    input: cli.input,
    flags: cli.flags,
    help: cli.help,
    version: String(cli.pkg.version ?? ""),
  });
}

function requestOf(
  flags: Readonly<Record<string, unknown>>,
): CommandLineRequest {
  if (flags["help"] === true) return CommandLineRequest.Help;
  if (flags["version"] === true) return CommandLineRequest.Version;
  return CommandLineRequest.Run;
}

function describeUnknownFlag(name: string, known: readonly string[]): string {
  const flags = known.map(flagName);
  const flag = flagName(name);
  return `unknown flag ${flag}${formatSuggestion(flag, flags)}`;
}

/** Builds the error of a command line that cannot be understood. */
export function createUsageError(detail: string): RouterError {
  return new RouterError(MessageCode.CommandLineInvalid, "read command line", {
    detail,
  });
}

/** `permitDurationMs` as `--permit-duration-ms`. */
export function flagName(name: string): string {
  const dashed = name.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
  return dashed.length === 1 ? `-${dashed}` : `--${dashed}`;
}
