/**
 * Decides which servers of a divided service get keys while some are cold, and
 * which lose theirs. Requests for the keys of a cold owner have no other server,
 * and a cold owner takes only a few of them. This module does no I/O.
 */

/** An owner that is cold for less than a move of its keys takes keeps them. */
const keyMoveMs = 1_000;
/** Fraction of the service's slots that warm servers must have to take the keys of the cold ones. */
const minWarmFraction = 0.6;

/** What a server may do with keys. */
export enum KeyRole {
  /** Keeps its keys and gets others. */
  Receives = "receives",
  /** Keeps its keys and gets no others. */
  Keeps = "keeps",
  /** Its keys move to other servers. */
  Loses = "loses",
}

/** Assigns a role to each server of a service, in their order. */
export function assignKeyRoles(
  servers: readonly {
    readonly slotCount: number;
    readonly coldLeftMs: number;
  }[],
): KeyRole[] {
  const warm = servers.filter(({ coldLeftMs }) => coldLeftMs <= 0);
  if (warm.length === 0) return servers.map(() => KeyRole.Receives);
  const sumSlots = (counted: readonly { readonly slotCount: number }[]) =>
    counted.reduce((sum, { slotCount }) => sum + slotCount, 0);
  const hasRoom = sumSlots(warm) >= sumSlots(servers) * minWarmFraction;
  return servers.map(({ coldLeftMs }) => {
    if (coldLeftMs <= 0) return KeyRole.Receives;
    return hasRoom && coldLeftMs > keyMoveMs ? KeyRole.Loses : KeyRole.Keeps;
  });
}
