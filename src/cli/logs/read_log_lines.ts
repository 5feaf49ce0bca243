/** Streams log lines from files or from standard input. */
import type { FileAccess } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { ToolError } from "../tool_error.ts";
import { type LogLine, tryParseLogLine } from "./log_line.ts";

/** The path that stands for standard input. */
const standardInput = "-";

/** Passes each line of each file to `onLine`, in order; reads standard input if no files are given. */
export async function readLogLines(
  files: FileAccess,
  options: {
    readonly paths: readonly string[];
    readonly onLine: (line: LogLine) => void;
  },
): Promise<void> {
  const { paths, onLine } = options;
  for (const path of paths.length === 0 ? [standardInput] : paths) {
    try {
      let lineNumber = 0;
      for await (const text of files.readLines(path)) {
        lineNumber += 1;
        const line = tryParseLogLine(text, { path, lineNumber });
        if (line !== undefined) onLine(line);
      }
    } catch (error) {
      if (error instanceof ToolError) throw error;
      throw new ToolError(
        ToolExitCode.NotFound,
        `${path} cannot be read: ${(error as Error).message}`,
      );
    }
  }
}
