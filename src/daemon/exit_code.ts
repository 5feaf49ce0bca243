/** The exit codes of `skylarkridged`. */
export enum DaemonExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2,
  /** A second stop signal ended the daemon before it was drained. */
  Forced = 3,
}
