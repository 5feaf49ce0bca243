/** `drain DAEMON`: takes one daemon out of service without cutting anything. */
import { OperatorService } from "../../gen/skylarkridge/v1/operator_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { ToolError } from "../tool_error.ts";

/** Orders a drain. */
export class DrainCommand extends Command {
  override readonly name = "drain";
  override readonly usage = "DAEMON";
  override readonly summary = "drain a daemon; it ends when it has finished";
  override readonly minArgumentCount = 1;
  override readonly maxArgumentCount = 1;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [daemonId = ""] = context.arguments;
    const { daemons } = await context.fleet.getStatus();
    const daemon = daemons.find((known) => known.daemonId === daemonId);
    if (daemon === undefined) {
      const known = daemons.map((other) => other.daemonId).join(", ");
      throw new ToolError(
        ToolExitCode.NotFound,
        `daemon ${daemonId} is not known; known are ${known}`,
      );
    }
    await context.fleet.askDaemon(daemon, {
      service: OperatorService,
      call: (client) => client.drainDaemon({}),
    });
    printResult(context, { daemonId, isDraining: true }, {
      render: () => [`${daemonId} drains`],
    });
    return ToolExitCode.Success;
  }
}
