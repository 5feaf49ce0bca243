/** `owner SERVICE KEY`: the server that owns a key, since when, and why. */
import {
  type LocateKeyResponse,
  OperatorService,
} from "../../gen/skylarkridge/v1/operator_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { formatFields, formatOptional, formatWallTime } from "../table.ts";

export class OwnerCommand extends Command {
  override readonly name = "owner";
  override readonly usage = "SERVICE KEY";
  override readonly summary = "owner of a key, since when, and why it moved";
  override readonly minArgumentCount = 2;
  override readonly maxArgumentCount = 2;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [service = "", key = ""] = context.arguments;
    const located = await context.fleet.call(
      OperatorService,
      (client) => client.locateKey({ service, key }),
    );
    printResult(context, located, { render: formatLocation });
    return ToolExitCode.Success;
  }
}

function formatLocation(located: LocateKeyResponse): string[] {
  const { lastMove } = located;
  const shard = `${located.shard}${located.isHotKey ? " (hot key)" : ""}`;
  return formatFields([
    ["owner", `${located.serverId} (${located.serverState})`],
    ["data centre", located.dataCentre],
    ["shard", shard],
    ["home", located.homeDaemonId],
    ["standby", formatOptional(located.standbyDaemonId)],
    ["fence", String(located.fence)],
    ["assignment", `version ${located.assignmentVersion}`],
    ["epoch", String(located.epoch)],
    ["since", lastMove ? formatWallTime(lastMove.wallTimeMs) : "not known"],
    ["reason", lastMove?.reason ?? "not known"],
    ["previous owner", formatOptional(lastMove?.fromServerId ?? "")],
  ]);
}
