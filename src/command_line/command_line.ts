/**
 * Parses the command lines of the daemon and of the operators' tool with meow.
 * Unknown and repeated flags are usage errors; `--help` and `--version` are
 * recognized among other arguments.
 */
import meow, { type AnyFlags, type Options } from "meow";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import { RouterError } from "../types/errors.ts";
import { formatSuggestion } from "./nearest_name.ts";

/** The action that a command line requests. */
export enum CommandLineRequest {
  Run = "run",
  Help = "help",
  Version = "version",
}

/** A parsed command line; the types of the flags follow from their declarations. */
export interface CommandLine<F extends AnyFlags> {
  readonly request: CommandLineRequest;
  readonly input: readonly string[];
  readonly flags: ReturnType<typeof meow<F>>["flags"];
  readonly help: string;
  readonly version: string;
}

/** The arguments of a program and the declarations of its flags. */
export interface CommandLineOptions<F extends AnyFlags> {
  readonly importMeta: ImportMeta;
  readonly arguments: readonly string[];
  readonly flags: F;
  readonly help: string;
}

const builtInFlagNames = ["help", "version"];

/** Parses the arguments; returns a `CommandLineInvalid` error if they are invalid. */
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
  const known = [...Object.keys(options.flags), ...builtInFlagNames];
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

/** Creates the error for an invalid command line. */
export function createUsageError(detail: string): RouterError {
  return new RouterError(MessageCode.CommandLineInvalid, "read command line", {
    detail,
  });
}

/** Converts a declared name, such as `permitDurationMs`, to the flag `--permit-duration-ms`. */
export function flagName(name: string): string {
  const dashed = name.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
  return dashed.length === 1 ? `-${dashed}` : `--${dashed}`;
}
