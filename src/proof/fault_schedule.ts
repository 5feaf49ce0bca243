/**
 * Fault schedules: which faults are injected into a fleet, when and for how
 * long. A schedule is plain data, so that a failing one can be printed and run
 * again.
 */
import * as fc from "fast-check";

/** The faults that a schedule can contain. */
export enum FaultKind {
  KillServer = "kill-server",
  FreezeServer = "freeze-server",
  DrainServer = "drain-server",
  AddServer = "add-server",
  ServerLosesAnswers = "server-loses-answers",
  ServerSheds = "server-sheds",
  KillDaemon = "kill-daemon",
  FreezeDaemon = "freeze-daemon",
  AddDaemon = "add-daemon",
  CutDaemonLink = "cut-daemon-link",
  CutDaemonFromStore = "cut-daemon-from-store",
  CutDaemonFromServer = "cut-daemon-from-server",
  StoreDown = "store-down",
  StoreSlow = "store-slow",
  StoreLosesAnswers = "store-loses-answers",
}

/**
 * One fault. The indexes are taken modulo the number of daemons or servers at
 * the start of the fault.
 */
export interface Fault {
  readonly kind: FaultKind;
  readonly startsAtMs: number;
  readonly durationMs: number;
  readonly targetIndex: number;
  readonly otherIndex: number;
}

/** Bounds of generated schedules. */
export interface FaultScheduleBounds {
  readonly maxFaultCount: number;
  readonly lengthMs: number;
  readonly maxDurationMs: number;
}

const maxIndex = 16;
const stepMs = 10;

/** Creates an arbitrary of schedules, each ordered by the start of its faults. */
export function createFaultScheduleArbitrary(
  bounds: FaultScheduleBounds,
): fc.Arbitrary<Fault[]> {
  const fault: fc.Arbitrary<Fault> = fc.record({
    kind: fc.constantFrom(...Object.values(FaultKind)),
    startsAtMs: createTimeArbitrary(bounds.lengthMs),
    durationMs: createTimeArbitrary(bounds.maxDurationMs),
    targetIndex: fc.nat({ max: maxIndex }),
    otherIndex: fc.nat({ max: maxIndex }),
  });
  return fc.array(fault, { minLength: 1, maxLength: bounds.maxFaultCount })
    .map((faults) => faults.sort((a, b) => a.startsAtMs - b.startsAtMs));
}

function createTimeArbitrary(limitMs: number): fc.Arbitrary<number> {
  return fc.nat({ max: limitMs / stepMs }).map((steps) => steps * stepMs);
}

/** Formats a schedule with one line for each fault. */
export function formatFaultSchedule(faults: readonly Fault[]): string {
  return faults
    .map((f) =>
      `${f.startsAtMs} ms ${f.kind} #${f.targetIndex}/#${f.otherIndex} ` +
      `for ${f.durationMs} ms`
    )
    .join("\n");
}
