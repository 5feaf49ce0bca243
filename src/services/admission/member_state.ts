/** Compares what two ledgers know of the same entry. */
import type { MemberCopy } from "./allowance_messages.ts";

/** The running totals of one entry. */
export type MemberState = Pick<
  MemberCopy,
  "openedAtMs" | "sequence" | "usedTotal" | "baseTotal"
>;

/** Whether one state follows the other. */
export function isNewer(one: MemberState, other: MemberState): boolean {
  return one.openedAtMs > other.openedAtMs ||
    (one.openedAtMs === other.openedAtMs && one.sequence > other.sequence);
}

/** Uses that one state shows and the other does not; 0 for an older one. */
export function countNewUses(
  one: MemberState,
  other: MemberState | undefined,
): number {
  if (other === undefined) return one.usedTotal - one.baseTotal;
  if (!isNewer(one, other)) return 0;
  const isSameAccount = one.openedAtMs === other.openedAtMs;
  const startTotal = isSameAccount ? other.usedTotal : one.baseTotal;
  return Math.max(0, one.usedTotal - startTotal);
}
