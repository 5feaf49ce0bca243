/** `lists diff PLANS ALLOWANCES`: compares both files with the lists in force. */
import { ListsService } from "../../gen/skylarkridge/v1/lists_pb.ts";
import { formatDifference } from "../../services/lists/list_difference.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { readListFiles } from "../list_files.ts";

/** The difference between the lists in force and the operator's files. */
interface ListsDifference {
  readonly version: number;
  readonly lines: readonly string[];
}

export class ListsDiffCommand extends Command {
  override readonly name = "lists diff";
  override readonly usage = "PLANS ALLOWANCES";
  override readonly summary = "difference from the lists in force";
  override readonly minArgumentCount = 2;
  override readonly maxArgumentCount = 2;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const after = await readListFiles(context);
    const { revision, texts } = await context.fleet.call(
      ListsService,
      (client) => client.getLists({}),
    );
    const before = texts ?? { plansText: "", allowancesText: "" };
    const text = formatDifference(before, after);
    const difference = {
      version: Number(revision?.version ?? 0),
      lines: text === "" ? [] : text.split("\n"),
    };
    printResult(context, difference, { render: formatListsDifference });
    return ToolExitCode.Success;
  }
}

function formatListsDifference({ version, lines }: ListsDifference): string[] {
  if (lines.length === 0) return [`no difference from version ${version}`];
  return [`difference from version ${version}`, ...lines];
}
