/** Peers whose last call failed; they are passed over until one succeeds. */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** Which peers this daemon can't reach at present. */
export class PeerSuspicion {
  readonly #suspects = new Map<DaemonId, DaemonInfo>();

  isSuspect(daemonId: DaemonId): boolean {
    return this.#suspects.has(daemonId);
  }

  suspect(peer: DaemonInfo): void {
    this.#suspects.set(peer.daemonId, peer);
  }

  clear(daemonId: DaemonId): void {
    this.#suspects.delete(daemonId);
  }

  /** Every suspect, to be tried again. */
  list(): readonly DaemonInfo[] {
    return [...this.#suspects.values()];
  }
}
