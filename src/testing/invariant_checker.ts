/**
 * Checks the invariants of exclusive ownership. The input is the backend
 * servers' executions only, so that an error in a daemon's state cannot hide a
 * violation.
 */
import { groupBy } from "../collections/group_by.ts";
import type { FakeExecution } from "./fake_backend.ts";

/** The ways in which executions can violate exclusive ownership. */
export enum InvariantKind {
  /** Two servers executed requests of a key at the same time. */
  TwoOwners = "two-owners",
  /** A request of a key was executed under a lower fence than an earlier one. */
  FenceFell = "fence-fell",
  /** Two servers executed requests of a key under the same fence. */
  FenceShared = "fence-shared",
  /** A non-idempotent request was executed more than once. */
  RanTwice = "ran-twice",
}

/** One violation, with the two executions that show it. */
export interface Violation {
  readonly kind: InvariantKind;
  readonly subject: string;
  readonly earlier: FakeExecution;
  readonly later: FakeExecution;
}

/** Returns all violations in the executions. */
export function findViolations(
  executions: readonly FakeExecution[],
): readonly Violation[] {
  const ordered = [...executions]
    .sort((a, b) => a.startedAtMs - b.startedAtMs);
  const byKey = groupBy(ordered, (e) => `${e.service}/${e.key}`);
  const byRequest = groupBy(
    ordered.filter((execution) => !execution.isIdempotent),
    (e) => e.idempotencyKey ?? e.requestId,
  );
  return [
    ...[...byKey].flatMap(([key, list]) => checkKey(key, list)),
    ...[...byRequest].flatMap(([id, list]) => checkRequest(id, list)),
  ];
}

/** Computes the longest time without the start of an execution, for each key. */
export function computeLongestGapMs(
  executions: readonly FakeExecution[],
  window: { readonly fromMs: number; readonly toMs: number },
): ReadonlyMap<string, number> {
  const inWindow = executions.filter(({ startedAtMs }) =>
    startedAtMs >= window.fromMs && startedAtMs <= window.toMs
  );
  const gaps = new Map<string, number>();
  for (const [key, list] of groupBy(inWindow, (e) => e.key)) {
    const starts = list.map((e) => e.startedAtMs).sort((a, b) => a - b);
    const edges = [window.fromMs, ...starts, window.toMs];
    const steps = edges.slice(1).map((edge, index) => edge - edges[index]!);
    gaps.set(key, Math.max(...steps));
  }
  return gaps;
}

function checkKey(
  key: string,
  ordered: readonly FakeExecution[],
): readonly Violation[] {
  const violations: Violation[] = [];
  let previous: FakeExecution | undefined;
  let lastToFinish: FakeExecution | undefined;
  for (const later of ordered) {
    const report = (kind: InvariantKind, earlier: FakeExecution) =>
      violations.push({ kind, subject: key, earlier, later });
    const isOverlap = lastToFinish !== undefined &&
      lastToFinish.serverId !== later.serverId &&
      lastToFinish.finishedAtMs > later.startedAtMs;
    if (isOverlap) report(InvariantKind.TwoOwners, lastToFinish!);
    if (previous !== undefined && previous.fence > later.fence) {
      report(InvariantKind.FenceFell, previous);
    }
    const isShared = previous !== undefined && previous.fence === later.fence &&
      previous.serverId !== later.serverId;
    if (isShared) report(InvariantKind.FenceShared, previous!);
    previous = later;
    if (
      lastToFinish === undefined ||
      later.finishedAtMs >= lastToFinish.finishedAtMs
    ) {
      lastToFinish = later;
    }
  }
  return violations;
}

function checkRequest(
  subject: string,
  ordered: readonly FakeExecution[],
): readonly Violation[] {
  const [earlier, ...repeats] = ordered;
  return repeats.map((later) => ({
    kind: InvariantKind.RanTwice,
    subject,
    earlier: earlier!,
    later,
  }));
}
