/**
 * The base class of the tool's commands, and what all commands share to print
 * results. Each command has its own file under commands/.
 */
import type { Clock } from "../host/clock.ts";
import { ToolExitCode } from "./exit_code.ts";
import type { DaemonAnswer, FleetClient } from "./fleet_client.ts";
import { type Output, writeJson } from "./output.ts";
import { ToolError } from "./tool_error.ts";

/** The validated flags of the tool. */
export interface ToolFlags {
  readonly json: boolean;
  readonly wait: boolean;
  readonly waitTimeoutMs: number;
  readonly author: string | undefined;
  readonly baseVersion: number | undefined;
  readonly out: string | undefined;
}

/** Reads and writes the operator's files. */
export abstract class FileAccess {
  abstract read(path: string): Promise<string>;
  /** Reads a file of any size; `-` is standard input. */
  abstract readLines(path: string): AsyncIterable<string>;
  abstract write(path: string, content: string): Promise<void>;
}

/** The arguments of a command and the interfaces through which it acts. */
export interface CommandContext {
  readonly arguments: readonly string[];
  readonly flags: ToolFlags;
  /** Reading the property throws `ToolError` if the fleet's address or secret is missing. */
  readonly fleet: FleetClient;
  readonly output: Output;
  readonly clock: Clock;
  readonly files: FileAccess;
}

/** One command of the tool. */
export abstract class Command {
  /** The words that select the command, such as `lists apply`. */
  abstract readonly name: string;
  /** The arguments, as the help text shows them. */
  abstract readonly usage: string;
  abstract readonly summary: string;
  abstract readonly minArgumentCount: number;
  abstract readonly maxArgumentCount: number;

  /** Runs the command; throws `ToolError`. */
  abstract run(context: CommandContext): Promise<ToolExitCode>;

  /** Checks the number of arguments; throws `ToolError`. */
  checkArguments(given: readonly string[]): void {
    const isTooFew = given.length < this.minArgumentCount;
    if (!isTooFew && given.length <= this.maxArgumentCount) return;
    const usage = `skylarkridge ${this.name} ${this.usage}`.trimEnd();
    throw new ToolError(ToolExitCode.Usage, `usage: ${usage}`);
  }
}

/** Prints a result as JSON if `--json` is set, and otherwise the lines that `render` returns. */
export function printResult<T>(
  { flags, output }: CommandContext,
  value: T,
  options: { readonly render: (value: T) => readonly string[] },
): void {
  if (flags.json) return writeJson(output, value);
  for (const line of options.render(value)) output.writeLine(line);
}

/** Writes a note for each daemon that did not answer; returns `Partial` if there is one. */
export function reportMissingAnswers<T>(
  { output }: CommandContext,
  answers: readonly DaemonAnswer<T>[],
): ToolExitCode {
  const missing = answers.filter(({ error }) => error !== undefined);
  for (const { daemon, error } of missing) {
    output.writeNote(`${daemon.daemonId} did not answer: ${error?.message}`);
  }
  return missing.length === 0 ? ToolExitCode.Success : ToolExitCode.Partial;
}

/** Returns the values of the daemons that answered, with the daemons' identifiers. */
export function collectValues<T>(
  answers: readonly DaemonAnswer<T>[],
): { readonly daemonId: string; readonly value: T }[] {
  return answers.flatMap(({ daemon, value }) =>
    value === undefined ? [] : [{ daemonId: daemon.daemonId, value }]
  );
}
