/** The exit codes of `skylarkridge`; scripts may rely on them. */
export enum ToolExitCode {
  Success = 0,
  /** Something failed that no other code names. */
  Failure = 1,
  /** The command line or the environment is wrong. */
  Usage = 2,
  /** What was asked for does not exist or is forgotten. */
  NotFound = 3,
  /** The lists changed since the base version. */
  Conflict = 4,
  /** The lists are not acceptable. */
  ListInvalid = 5,
  /** The daemon given by `--peer` did not answer. */
  Unreachable = 6,
  /** The peer secret is missing or wrong. */
  Unauthorized = 7,
  /** Some daemons did not answer; what the others said is shown. */
  Partial = 8,
  /** The lists are accepted, but some daemons did not follow in time. */
  Lagging = 9,
  /** The platform did not tell whether the change was accepted. */
  Unknown = 10,
  /** The daemon answered, but the platform did not answer it. */
  PlatformUnavailable = 11,
}

/** What each exit code means, for `--help` and for people. */
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
