/** The exit codes of `skylarkridge`. They are stable, since scripts may match on them. */
export enum ToolExitCode {
  Success = 0,
  /** A failure that no other code describes. */
  Failure = 1,
  /** The command line or an environment variable is invalid. */
  Usage = 2,
  /** The requested item does not exist or is no longer in the bounded history. */
  NotFound = 3,
  /** Another change of the lists was accepted after the base version. */
  Conflict = 4,
  /** The lists are invalid. */
  ListInvalid = 5,
  /** The daemon that `--peer` names did not answer. */
  Unreachable = 6,
  /** The peer secret is missing or wrong. */
  Unauthorized = 7,
  /** Some daemons did not answer; the output covers the others. */
  Partial = 8,
  /** The lists were accepted, but not put in force on every daemon before the wait timeout. */
  Lagging = 9,
  /** An answer of the daemon or the platform was lost; the change may have been accepted. */
  Unknown = 10,
  /** The daemon answered, but it could not reach the platform. */
  PlatformUnavailable = 11,
}

/** The meaning of each exit code, for `--help` and for the table in docs/OPERATING.md. */
export const exitCodeTexts: Readonly<Record<ToolExitCode, string>> = {
  [ToolExitCode.Success]: "done",
  [ToolExitCode.Failure]: "failed",
  [ToolExitCode.Usage]: "the command line or the environment is wrong",
  [ToolExitCode.NotFound]: "what was asked for does not exist",
  [ToolExitCode.Conflict]: "the lists changed since the base version",
  [ToolExitCode.ListInvalid]: "the lists are not acceptable",
  [ToolExitCode.Unreachable]: "the daemon did not answer",
  [ToolExitCode.Unauthorized]: "the peer secret is missing or wrong",
  [ToolExitCode.Partial]: "some daemons did not answer",
  [ToolExitCode.Lagging]: "accepted, but some daemons lag",
  [ToolExitCode.Unknown]: "it is not known whether the change was accepted",
  [ToolExitCode.PlatformUnavailable]: "the platform did not answer the daemon",
};
