/** `explain REQUEST_ID`: which step refused a request, by which list line. */
import {
  type Explanation,
  OperatorService,
} from "../../gen/skylarkridge/v1/operator_pb.ts";
import {
  collectValues,
  Command,
  type CommandContext,
  printResult,
  reportSilentDaemons,
} from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { formatFacts, formatOptional, formatWallTime } from "../table.ts";

/** Explains a refusal that a caller received. */
export class ExplainCommand extends Command {
  override readonly name = "explain";
  override readonly usage = "REQUEST_ID";
  override readonly summary = "why a request was refused, by which list line";
  override readonly minArgumentCount = 1;
  override readonly maxArgumentCount = 1;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [requestId = ""] = context.arguments;
    const answers = await context.fleet.askAll(
      OperatorService,
      (client) => client.explainRequest({ requestId }),
    );
    const explanation = collectValues(answers)
      .flatMap(({ value }) => value.explanation ?? [])[0];
    if (explanation !== undefined) {
      printResult(context, explanation, { render: formatExplanation });
      return ToolExitCode.Success;
    }
    const silent = reportSilentDaemons(context, answers);
    context.output.writeNote(
      `no daemon remembers a refusal of request ${requestId}`,
    );
    return silent === ToolExitCode.Success ? ToolExitCode.NotFound : silent;
  }
}

function formatExplanation(explanation: Explanation): string[] {
  const { listLine } = explanation;
  const place = listLine === undefined
    ? "-"
    : `${listLine.listName}:${listLine.line} ${listLine.text}`.trimEnd();
  return formatFacts([
    ["request", explanation.requestId],
    ["daemon", explanation.daemonId],
    ["time", formatWallTime(explanation.wallTimeMs)],
    ["customer", formatOptional(explanation.customer)],
    ["service", formatOptional(explanation.service)],
    ["key", formatOptional(explanation.key)],
    ["code", explanation.code],
    ["step", explanation.step],
    ["peer", formatOptional(explanation.peer)],
    ["outcome", explanation.outcome],
    ["limit", formatOptional(explanation.limitName)],
    ["list line", place],
    ["lists version", String(explanation.listsVersion)],
    ["message", explanation.message],
  ]);
}
