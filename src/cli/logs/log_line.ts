/**
 * Decodes the daemons' log lines, from plain log files and from captured output
 * in which a prefix, such as a timestamp, precedes each line.
 */
import { ToolExitCode } from "../exit_code.ts";
import { ToolError } from "../tool_error.ts";

/** A decoded log line; the fields besides these three depend on the event. */
export interface LogLine {
  readonly atMs: number;
  readonly daemon: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

const logLineStart = '{"atMs":';
/** A line without this end was truncated when its process was killed. */
const logLineEnd = "}";

/** Decodes a line; returns undefined if it holds no complete log line. Throws `ToolError`. */
export function tryParseLogLine(
  text: string,
  location: { readonly path: string; readonly lineNumber: number },
): LogLine | undefined {
  // In interleaved output of several daemons, one daemon's line may interrupt
  // another's; only the last log line on a line of text is complete.
  const startIndex = text.lastIndexOf(logLineStart);
  const trimmed = text.trimEnd();
  if (startIndex === -1 || !trimmed.endsWith(logLineEnd)) return undefined;
  try {
    return JSON.parse(trimmed.slice(startIndex)) as LogLine;
  } catch (error) {
    throw new ToolError(
      ToolExitCode.Failure,
      `${location.path}, line ${location.lineNumber}: not a log line: ` +
        (error as Error).message,
    );
  }
}
