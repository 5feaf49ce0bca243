/** The errors of the operators' tool, and the conversion of RPC errors into them. */
import { Code, ConnectError } from "@connectrpc/connect";
import { MessageCode } from "../diagnostics/messages.ts";
import { RouterError } from "../types/errors.ts";
import { ToolExitCode } from "./exit_code.ts";

const messageCodePattern = /^SR\d{4} /;

/** An error that determines the exit code of the tool. */
export class ToolError extends Error {
  readonly exitCode: ToolExitCode;
  /** Whether the daemon was reached but did not answer in time, so that the call may have taken effect. */
  readonly isTimeout: boolean;

  constructor(
    exitCode: ToolExitCode,
    message: string,
    options: { readonly isTimeout?: boolean } = {},
  ) {
    super(message);
    this.name = "ToolError";
    this.exitCode = exitCode;
    this.isTimeout = options.isTimeout ?? false;
  }
}

/** Converts any thrown value; `peer` names the daemon that was called. */
export function toToolError(error: unknown, peer: string): ToolError {
  if (error instanceof ToolError) return error;
  const failure = ConnectError.from(error);
  if (isDaemonError(failure) && failure.code === Code.Unavailable) {
    const { rawMessage } = failure;
    return new ToolError(ToolExitCode.PlatformUnavailable, rawMessage);
  }
  const exitCode = exitCodeOf(failure.code);
  if (exitCode === ToolExitCode.Unauthorized) {
    const { message } = new RouterError(
      MessageCode.PeerUnauthorized,
      "ask daemon",
      { peer },
    );
    return new ToolError(exitCode, message);
  }
  if (exitCode === ToolExitCode.Unreachable) {
    const { message } = new RouterError(
      MessageCode.PeerUnreachable,
      "ask daemon",
      { peer, detail: failure.rawMessage },
    );
    const isTimeout = failure.code === Code.DeadlineExceeded;
    return new ToolError(exitCode, message, { isTimeout });
  }
  return new ToolError(exitCode, failure.rawMessage);
}

/** Returns whether a daemon answered with the error, as opposed to a failure to reach the daemon. */
function isDaemonError({ rawMessage }: ConnectError): boolean {
  return messageCodePattern.test(rawMessage);
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
