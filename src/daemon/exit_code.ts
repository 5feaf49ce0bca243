/** The exit codes of `skylarkridged`. */
export enum DaemonExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2,
  /** A second signal ended the daemon before it had drained. */
  Forced = 3,
}
