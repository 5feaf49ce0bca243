/** Seeds of the soak that once violated a guarantee, each with the cause. */
export interface RegressionSeed {
  readonly seed: number;
  readonly lengthMs: number;
  readonly cause: string;
}

export const regressionSeeds: readonly RegressionSeed[] = [
  {
    seed: 100,
    lengthMs: 8_000,
    cause: "a second SIGTERM ended a daemon that was still shutting down",
  },
  {
    seed: 140,
    lengthMs: 8_000,
    cause: "a SIGHUP ended a daemon during its startup",
  },
  {
    seed: 100,
    lengthMs: 12_000,
    cause:
      "a daemon that was shutting down took requests on pipelined connections until its process ended",
  },
  {
    seed: 2_354,
    lengthMs: 6_000,
    cause:
      "a server that restarted under its address had the fence of its former incarnation",
  },
];
