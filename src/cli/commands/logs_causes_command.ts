/** `logs causes [FILE...]`: why requests failed, according to the daemons' logs. */
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { type FailureCause, FailureCauses } from "../logs/failure_causes.ts";
import { readLogLines } from "../logs/read_log_lines.ts";
import { formatTable } from "../table.ts";

const maxFileCount = 1_000;

/** Lists the causes of failure, each with its count and the id of an example request. */
export class LogsCausesCommand extends Command {
  override readonly name = "logs causes";
  override readonly usage = "[FILE...]";
  override readonly summary = "why requests failed, the most frequent first";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = maxFileCount;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const causes = new FailureCauses();
    await readLogLines(context.files, {
      paths: context.arguments,
      onLine: (line) => causes.add(line),
    });
    printResult(context, causes.list(), { render: formatCauses });
    return ToolExitCode.Success;
  }
}

function formatCauses(causes: readonly FailureCause[]): string[] {
  if (causes.length === 0) return ["no request failed"];
  return formatTable(
    [
      { title: "COUNT", isNumeric: true },
      { title: "SERVICE" },
      { title: "ENDING" },
      { title: "REASON" },
      { title: "EXAMPLE" },
    ],
    causes.map(({ count, service, ending, reason, exampleId }) => [
      String(count),
      service,
      ending,
      reason,
      exampleId,
    ]),
  );
}
