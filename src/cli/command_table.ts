/** The table of the tool's commands and the lookup of a command by its name. */
import { formatSuggestion } from "../command_line/nearest_name.ts";
import type { Command } from "./command.ts";
import { CountersCommand } from "./commands/counters_command.ts";
import { DrainCommand } from "./commands/drain_command.ts";
import { ExplainCommand } from "./commands/explain_command.ts";
import { HistogramsCommand } from "./commands/histograms_command.ts";
import { HistoryCommand } from "./commands/history_command.ts";
import { LimitsCommand } from "./commands/limits_command.ts";
import { ListsApplyCommand } from "./commands/lists_apply_command.ts";
import { ListsCheckCommand } from "./commands/lists_check_command.ts";
import { ListsDiffCommand } from "./commands/lists_diff_command.ts";
import { ListsHistoryCommand } from "./commands/lists_history_command.ts";
import { ListsShowCommand } from "./commands/lists_show_command.ts";
import { LogsCausesCommand } from "./commands/logs_causes_command.ts";
import { LogsStoryCommand } from "./commands/logs_story_command.ts";
import { OwnerCommand } from "./commands/owner_command.ts";
import { StatusCommand } from "./commands/status_command.ts";
import { ToolExitCode } from "./exit_code.ts";
import { ToolError } from "./tool_error.ts";

/** Creates every command, in the order of the help text. */
export function createCommands(): readonly Command[] {
  return [
    new ListsCheckCommand(),
    new ListsApplyCommand(),
    new ListsShowCommand(),
    new ListsDiffCommand(),
    new ListsHistoryCommand(),
    new OwnerCommand(),
    new HistoryCommand(),
    new StatusCommand(),
    new LimitsCommand(),
    new HistogramsCommand(),
    new CountersCommand(),
    new DrainCommand(),
    new ExplainCommand(),
    new LogsStoryCommand(),
    new LogsCausesCommand(),
  ];
}

/** A command and the arguments that follow its name. */
export interface SelectedCommand {
  readonly command: Command;
  readonly arguments: readonly string[];
}

/** Selects the command whose name the words begin with; throws `ToolError`. */
export function selectCommand(
  commands: readonly Command[],
  words: readonly string[],
): SelectedCommand {
  for (const command of commands) {
    const nameWords = command.name.split(" ");
    const isMatch = nameWords.every((word, index) => words[index] === word);
    if (!isMatch) continue;
    return { command, arguments: words.slice(nameWords.length) };
  }
  throw new ToolError(
    ToolExitCode.Usage,
    describeUnknownCommand(commands, words),
  );
}

function describeUnknownCommand(
  commands: readonly Command[],
  words: readonly string[],
): string {
  if (words.length === 0) return "no command given; see --help";
  const names = commands.map(({ name }) => name);
  const groups = new Set(names.map((name) => name.split(" ")[0]));
  const isGroup = groups.has(words[0]);
  const given = words.slice(0, isGroup ? 2 : 1).join(" ");
  return `unknown command ${given}${formatSuggestion(given, names)}`;
}
