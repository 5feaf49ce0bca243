/** `status`: daemons, coordinator, backend servers, permits and list versions. */
import { OperatorService } from "../../gen/skylarkridge/v1/operator_pb.ts";
import {
  Command,
  type CommandContext,
  printResult,
  reportMissingAnswers,
} from "../command.ts";
import type { ToolExitCode } from "../exit_code.ts";
import { createFleetStatus, formatFleetStatus } from "../fleet_status.ts";

export class StatusCommand extends Command {
  override readonly name = "status";
  override readonly usage = "";
  override readonly summary =
    "daemons, coordinator, backend servers, permits, list versions";
  override readonly minArgumentCount = 0;
  override readonly maxArgumentCount = 0;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const answers = await context.fleet.callAll(
      OperatorService,
      (client) => client.getStatus({}),
    );
    const status = createFleetStatus(answers);
    printResult(context, status, { render: formatFleetStatus });
    return reportMissingAnswers(context, answers);
  }
}
