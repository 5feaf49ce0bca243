/** Failures of the operators' tool, and how RPC errors become one. */
import { Code, ConnectError } from "@connectrpc/connect";
import { MessageCode } from "../diagnostics/messages.ts";
import { RouterError } from "../types/errors.ts";
import { ToolExitCode } from "./exit_code.ts";

/** A failure with the exit code it leads to. */
export class ToolError extends Error {
  readonly exitCode: ToolExitCode;

  constructor(exitCode: ToolExitCode, message: string) {
    super(message);
    this.name = "ToolError";
    this.exitCode = exitCode;
  }
}

/** Converts anything thrown; `peer` names the daemon that was asked. */
export function toToolError(error: unknown, peer: string): ToolError {
  if (error instanceof ToolError) return error;
  const failure = ConnectError.from(error);
  const exitCode = exitCodeOf(failure.code);
  if (exitCode === ToolExitCode.Unauthorized) {
    return createError(exitCode, MessageCode.PeerUnauthorized, { peer });
  }
  if (exitCode === ToolExitCode.Unreachable) {
    const detail = failure.rawMessage;
    return createError(exitCode, MessageCode.PeerUnreachable, { peer, detail });
  }
  return new ToolError(exitCode, failure.rawMessage);
}

function createError(
  exitCode: ToolExitCode,
  code: MessageCode,
  facts: { readonly peer: string; readonly detail?: string },
): ToolError {
  const { message } = new RouterError(code, "ask daemon", facts);
  return new ToolError(exitCode, message);
}

function exitCodeOf(code: Code): ToolExitCode {
  switch (code) {
    case Code.NotFound:
      return ToolExitCode.NotFound;
    case Code.Aborted:
      return ToolExitCode.Conflict;
    case Code.InvalidArgument:
      return ToolExitCode.ListInvalid;
    case Code.Unauthenticated:
      return ToolExitCode.Unauthorized;
    case Code.Unavailable:
    case Code.DeadlineExceeded:
      return ToolExitCode.Unreachable;
    case Code.Unknown:
      return ToolExitCode.Unknown;
    default:
      return ToolExitCode.Failure;
  }
}
