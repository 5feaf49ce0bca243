/** `limits [CUSTOMER]`: allowances and their usage, summed over the daemons. */
import {
  type Limit,
  OperatorService,
} from "../../gen/skylarkridge/v1/operator_pb.ts";
import {
  collectValues,
  Command,
  type CommandContext,
  printResult,
  reportMissingAnswers,
} from "../command.ts";
import type { ToolExitCode } from "../exit_code.ts";
import { formatTable } from "../table.ts";

/** One limit and its usage over the fleet. */
interface FleetLimit {
  readonly limitName: string;
  readonly customer: string;
  readonly requestClass: string;
  readonly windowKind: string;
  readonly allowedCount: number;
  usedCount: number;
  /** Number of daemons that applied the limit. */
  daemonCount: number;
}

export class LimitsCommand extends Command {
  override readonly name = "limits";
  override readonly usage = "[CUSTOMER]";
  override readonly summary = "allowances and their use over the fleet";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 1;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [customer = ""] = context.arguments;
    const answers = await context.fleet.callAll(
      OperatorService,
      (client) => client.listLimits({ customer }),
    );
    const limits = collectValues(answers).flatMap(({ value }) => value.limits);
    printResult(context, sumLimits(limits), { render: formatLimits });
    return reportMissingAnswers(context, answers);
  }
}

function sumLimits(limits: readonly Limit[]): FleetLimit[] {
  const sums = new Map<string, FleetLimit>();
  for (const limit of limits) {
    const { limitName, customer, requestClass, windowKind } = limit;
    const name = `${customer}/${requestClass}/${windowKind}`;
    const sum = sums.get(name) ?? {
      limitName,
      customer,
      requestClass,
      windowKind,
      allowedCount: limit.allowedCount,
      usedCount: 0,
      daemonCount: 0,
    };
    sum.usedCount += limit.usedCount;
    sum.daemonCount += 1;
    sums.set(name, sum);
  }
  return [...sums.entries()]
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, sum]) => sum);
}

function formatLimits(limits: readonly FleetLimit[]): string[] {
  if (limits.length === 0) return ["no limit has been applied"];
  const columns = [
    { title: "CUSTOMER" },
    { title: "CLASS" },
    { title: "WINDOW" },
    { title: "ALLOWED", isNumeric: true },
    { title: "USED", isNumeric: true },
    { title: "DAEMONS", isNumeric: true },
    { title: "LIMIT" },
  ];
  const rows = limits.map((limit) => [
    limit.customer,
    limit.requestClass,
    limit.windowKind,
    String(limit.allowedCount),
    String(Math.round(limit.usedCount)),
    String(limit.daemonCount),
    limit.limitName,
  ]);
  return formatTable(columns, rows);
}
