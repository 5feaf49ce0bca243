/** `lists history`: the accepted versions of the lists, newest first. */
import {
  type ListsRevision,
  ListsService,
} from "../../gen/skylarkridge/v1/lists_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { formatTable, formatWallTime } from "../table.ts";

const shownHashLength = 12;

export class ListsHistoryCommand extends Command {
  override readonly name = "lists history";
  override readonly usage = "";
  override readonly summary = "accepted changes, newest first";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 0;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const { revisions } = await context.fleet.call(
      ListsService,
      (client) => client.listRevisions({}),
    );
    printResult(context, revisions, { render: formatRevisions });
    return ToolExitCode.Success;
  }
}

function formatRevisions(revisions: readonly ListsRevision[]): string[] {
  if (revisions.length === 0) return ["no lists have been accepted"];
  const columns = [
    { title: "VERSION", isNumeric: true },
    { title: "TIME" },
    { title: "AUTHOR" },
    { title: "CONTENT" },
  ];
  const rows = revisions.map((revision) => [
    String(revision.version),
    formatWallTime(revision.wallTimeMs),
    revision.author,
    revision.contentHash.slice(0, shownHashLength),
  ]);
  return formatTable(columns, rows);
}
