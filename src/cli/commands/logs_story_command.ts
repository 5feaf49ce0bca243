/** `logs story ID [FILE...]`: what happened to one request, according to the daemons' logs. */
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import type { LogLine } from "../logs/log_line.ts";
import { readLogLines } from "../logs/read_log_lines.ts";
import { RequestTimeline } from "../logs/request_timeline.ts";
import { ToolError } from "../tool_error.ts";

const maxFileCount = 1_000;
/** Fields that are rendered at a fixed place or left out; the other fields follow as `name=value`. */
const fixedFields: ReadonlySet<string> = new Set([
  "atMs",
  "daemon",
  "event",
  "level",
]);

/** Shows the log lines of a request and of the servers and key ranges that it involved. */
export class LogsStoryCommand extends Command {
  override readonly name = "logs story";
  override readonly usage = "ID [FILE...]";
  override readonly summary =
    "what became of a request, from logs of any daemons";
  override readonly minArgumentCount = 1;
  override readonly maxArgumentCount = 1 + maxFileCount;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const [id, ...paths] = context.arguments;
    const timeline = new RequestTimeline(id!);
    await readLogLines(context.files, {
      paths,
      onLine: (line) => timeline.add(line),
    });
    const lines = timeline.lines();
    if (lines.length === 0) {
      throw new ToolError(
        ToolExitCode.NotFound,
        `no line of request ${id} in the given logs`,
      );
    }
    printResult(context, lines, { render: formatLines });
    return ToolExitCode.Success;
  }
}

function formatLines(lines: readonly LogLine[]): string[] {
  const firstAtMs = lines[0]!.atMs;
  return lines.map((line) => {
    const fields = Object.entries(line)
      .filter(([name]) => !fixedFields.has(name))
      .map(([name, value]) => `${name}=${value}`);
    const offset = `+${line.atMs - firstAtMs} ms`.padStart(9);
    return [offset, line.daemon, line.event, ...fields].join("  ");
  });
}
