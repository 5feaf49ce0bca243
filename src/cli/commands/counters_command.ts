/** `counters`: the sum of every counter over all daemons. */
import { OperatorService } from "../../gen/skylarkridge/v1/operator_pb.ts";
import {
  collectValues,
  Command,
  type CommandContext,
  printResult,
  reportMissingAnswers,
} from "../command.ts";
import type { ToolExitCode } from "../exit_code.ts";
import { formatTable } from "../table.ts";

/** The sum of one counter over the fleet. */
interface FleetCounter {
  readonly name: string;
  readonly count: number;
}

export class CountersCommand extends Command {
  override readonly name = "counters";
  override readonly usage = "";
  override readonly summary = "counters over the fleet";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 0;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const answers = await context.fleet.callAll(
      OperatorService,
      (client) => client.listCounters({}),
    );
    const sums = new Map<string, number>();
    for (const { value } of collectValues(answers)) {
      for (const { name, count } of value.counters) {
        sums.set(name, (sums.get(name) ?? 0) + Number(count));
      }
    }
    const counters = [...sums]
      .map(([name, count]) => ({ name, count }))
      .sort((a, b) => a.name < b.name ? -1 : 1);
    printResult(context, counters, { render: formatCounters });
    return reportMissingAnswers(context, answers);
  }
}

function formatCounters(counters: readonly FleetCounter[]): string[] {
  const columns = [{ title: "COUNTER" }, { title: "COUNT", isNumeric: true }];
  const rows = counters.map(({ name, count }) => [name, String(count)]);
  return formatTable(columns, rows);
}
