/** Peers whose last call failed; they are skipped until a call succeeds. */
import type { DaemonId, DaemonInfo } from "../../types/types.ts";

/** Tracks the peers that this daemon can't reach. */
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

  list(): readonly DaemonInfo[] {
    return [...this.#suspects.values()];
  }
}
