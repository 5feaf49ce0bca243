/** `drain DAEMON`: takes a daemon out of service without cutting off requests. */
import { OperatorService } from "../../gen/skylarkridge/v1/operator_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { ToolError } from "../tool_error.ts";

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
        `daemon ${daemonId} is not known; known daemons: ${known}`,
      );
    }
    await context.fleet.callDaemon(daemon, {
      service: OperatorService,
      invoke: (client) => client.drainDaemon({}),
    });
    printResult(context, { daemonId, isDraining: true }, {
      render: () => [`${daemonId} is draining`],
    });
    return ToolExitCode.Success;
  }
}
