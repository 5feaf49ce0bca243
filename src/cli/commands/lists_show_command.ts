/** `lists show`: prints the lists in force, or writes them to a folder. */
import {
  type GetListsResponse,
  ListsService,
} from "../../gen/skylarkridge/v1/lists_pb.ts";
import { ListName } from "../../types/enums.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { formatWallTime } from "../table.ts";
import { ToolError } from "../tool_error.ts";

export class ListsShowCommand extends Command {
  override readonly name = "lists show";
  override readonly usage = "[--out FOLDER]";
  override readonly summary = "the lists in force and their version";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 0;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const lists = await context.fleet.call(
      ListsService,
      (client) => client.getLists({}),
    );
    if (lists.revision === undefined || lists.texts === undefined) {
      throw new ToolError(ToolExitCode.NotFound, "no lists are in force");
    }
    const { out } = context.flags;
    if (out !== undefined) await writeLists(context, lists, out);
    const render = out === undefined ? formatLists : formatRevision;
    printResult(context, lists, { render });
    return ToolExitCode.Success;
  }
}

async function writeLists(
  { files }: CommandContext,
  { texts }: GetListsResponse,
  folder: string,
): Promise<void> {
  await files.write(`${folder}/${ListName.Plans}`, texts?.plansText ?? "");
  await files.write(
    `${folder}/${ListName.Allowances}`,
    texts?.allowancesText ?? "",
  );
}

function formatRevision({ revision, freshness }: GetListsResponse): string[] {
  if (revision === undefined) return [];
  const time = formatWallTime(revision.wallTimeMs);
  return [
    `version ${revision.version}, by ${revision.author}, ${time}, ${freshness}`,
  ];
}

function formatLists(lists: GetListsResponse): string[] {
  const { texts } = lists;
  return [
    ...formatRevision(lists),
    `--- ${ListName.Plans}`,
    texts?.plansText.trimEnd() ?? "",
    `--- ${ListName.Allowances}`,
    texts?.allowancesText.trimEnd() ?? "",
  ];
}
