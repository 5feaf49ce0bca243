/** `lists check PLANS ALLOWANCES`: validates both lists without applying them. */
import {
  type CheckListsResponse,
  ListsService,
} from "../../gen/skylarkridge/v1/lists_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { readListFiles } from "../list_files.ts";

export class ListsCheckCommand extends Command {
  override readonly name = "lists check";
  override readonly usage = "PLANS ALLOWANCES";
  override readonly summary = "check both lists without accepting them";
  override readonly minArgumentCount = 2;
  override readonly maxArgumentCount = 2;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const texts = await readListFiles(context);
    const checked = await context.fleet.call(
      ListsService,
      (client) => client.checkLists({ texts }),
    );
    printResult(context, checked, { render: formatCheck });
    return checked.errors.length === 0
      ? ToolExitCode.Success
      : ToolExitCode.ListInvalid;
  }
}

function formatCheck({ errors, warnings }: CheckListsResponse): string[] {
  return [
    ...errors.map((line) => `error: ${line}`),
    ...warnings.map((line) => `warning: ${line}`),
    errors.length === 0
      ? "both lists are acceptable"
      : `${errors.length} errors; the lists are not acceptable`,
  ];
}
