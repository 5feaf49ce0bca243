/** `explain REQUEST_ID`: the step that refused a request and the line of the lists that caused the refusal. */
import {
  type Explanation,
  OperatorService,
} from "../../gen/skylarkridge/v1/operator_pb.ts";
import {
  collectValues,
  Command,
  type CommandContext,
  printResult,
  reportMissingAnswers,
} from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { formatFields, formatOptional, formatWallTime } from "../table.ts";

export class ExplainCommand extends Command {
  override readonly name = "explain";
  override readonly usage = "REQUEST_ID";
  override readonly summary = "why a request was refused, by which list line";
  override readonly minArgumentCount = 1;
  override readonly maxArgumentCount = 1;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [requestId = ""] = context.arguments;
    const answers = await context.fleet.callAll(
      OperatorService,
      (client) => client.explainRequest({ requestId }),
    );
    const explanation = collectValues(answers)
      .flatMap(({ value }) => value.explanation ?? [])[0];
    if (explanation !== undefined) {
      printResult(context, explanation, { render: formatExplanation });
      return ToolExitCode.Success;
    }
    const exitCode = reportMissingAnswers(context, answers);
    context.output.writeNote(
      `no daemon has a record of a refusal of request ${requestId}`,
    );
    return exitCode === ToolExitCode.Success ? ToolExitCode.NotFound : exitCode;
  }
}

function formatExplanation(explanation: Explanation): string[] {
  const { listLine } = explanation;
  const lineText = listLine === undefined
    ? "-"
    : `${listLine.listName}:${listLine.line} ${listLine.text}`.trimEnd();
  return formatFields([
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
    ["list line", lineText],
    ["lists version", String(explanation.listsVersion)],
    ["message", explanation.message],
  ]);
}
