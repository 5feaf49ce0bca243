/** Compares the states of the same entry in two ledgers. */
import type { MemberCopy } from "./allowance_messages.ts";

/** The running totals of one entry. */
export type MemberState = Pick<
  MemberCopy,
  "openedAtMs" | "sequence" | "usedTotal" | "baseTotal"
>;

/** Whether `state` was reported later than `other`. */
export function isNewer(state: MemberState, other: MemberState): boolean {
  return state.openedAtMs > other.openedAtMs ||
    (state.openedAtMs === other.openedAtMs && state.sequence > other.sequence);
}

/** Counts the uses in `state` that `other` lacks; 0 unless `state` is newer. */
export function countNewUses(
  state: MemberState,
  other: MemberState | undefined,
): number {
  if (other === undefined) return state.usedTotal - state.baseTotal;
  if (!isNewer(state, other)) return 0;
  const isSameOpening = state.openedAtMs === other.openedAtMs;
  const startTotal = isSameOpening ? other.usedTotal : state.baseTotal;
  return Math.max(0, state.usedTotal - startTotal);
}
