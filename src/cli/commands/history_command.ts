/** `history [SERVICE]`: recent changes of owners and home daemons. */
import {
  type Move,
  OperatorService,
} from "../../gen/skylarkridge/v1/operator_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { formatOptional, formatTable, formatWallTime } from "../table.ts";

/** Lists the moves in the history of the daemon that `--peer` names. */
export class HistoryCommand extends Command {
  override readonly name = "history";
  override readonly usage = "[SERVICE]";
  override readonly summary = "recent moves, oldest first";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 1;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [service = ""] = context.arguments;
    const { moves } = await context.fleet.call(
      OperatorService,
      (client) => client.listMoves({ service }),
    );
    printResult(context, moves, { render: formatMoves });
    return ToolExitCode.Success;
  }
}

/** Returns whether only the home daemon changed; the server then keeps its shards. */
function isHomeChange(move: Move): boolean {
  return move.fromServerId !== "" && move.fromServerId === move.toServerId;
}

function formatMoves(moves: readonly Move[]): string[] {
  if (moves.length === 0) return ["the history contains no moves"];
  const columns = [
    { title: "TIME" },
    { title: "SERVICE" },
    { title: "REASON" },
    { title: "FROM" },
    { title: "TO" },
    { title: "SHARDS", isNumeric: true },
    { title: "KEY" },
    { title: "EPOCH", isNumeric: true },
    { title: "VERSION", isNumeric: true },
  ];
  const rows = moves.map((move) => [
    formatWallTime(move.wallTimeMs),
    move.service,
    move.reason,
    formatOptional(move.fromServerId),
    formatOptional(move.toServerId),
    isHomeChange(move) ? "home" : String(move.shardCount),
    formatOptional(move.key),
    String(move.epoch),
    String(move.version),
  ]);
  return formatTable(columns, rows);
}
