/**
 * Decides how many requests this daemon may send to a cold server, so that all
 * daemons together stay within the server's rate. No message is needed: for
 * each server a few daemons are named by rendezvous hashing over the daemons of
 * the fleet. Two views of the fleet may name different daemons; each view has
 * half of the rate, so that both together stay within it. The load that this
 * answers is a burst of callers at a server that crashes above its rate. This
 * module does no I/O.
 */
import { hashFraction } from "../../hashing/hash_fraction.ts";

/** Number of different views of the fleet that may be in use at the same time. */
const viewCount = 2;
/** A daemon uses its share only when its view of the fleet is older; longer than the relay takes to bring a new row. */
const viewSettleMs = 3_000;
const msPerSecond = 1_000;

/** The time between two requests of this daemon to one server; infinite when other daemons are named. */
interface Share {
  readonly requestsPerSecond: number;
  readonly intervalMs: number;
}

/** The shares of one daemon. */
export class ColdShares {
  readonly #daemonId: string;
  #daemonIds: readonly string[] = [];
  #viewChangedAtMs = -Infinity;
  /** By id of the server, in the current view. */
  readonly #shares = new Map<string, Share>();
  /** By id of the server; kept over restarts of the server. */
  readonly #nextAtMs = new Map<string, number>();

  constructor(daemonId: string) {
    this.#daemonId = daemonId;
  }

  /** Takes over the ids of the fleet's daemons. */
  noteFleet(daemonIds: readonly string[], nowMs: number): void {
    // Rows of daemons are only added.
    if (daemonIds.length === this.#daemonIds.length) return;
    this.#daemonIds = daemonIds;
    this.#viewChangedAtMs = nowMs;
    this.#shares.clear();
  }

  /** The time until this daemon may send to the cold server; infinite when other daemons hold its shares. */
  waitMs(serverId: string, requestsPerSecond: number, nowMs: number): number {
    const { intervalMs } = this.#shareOf(serverId, requestsPerSecond);
    if (intervalMs === Infinity) return Infinity;
    const allowedAtMs = Math.max(
      this.#viewChangedAtMs + viewSettleMs,
      this.#nextAtMs.get(serverId) ?? -Infinity,
    );
    return Math.max(0, allowedAtMs - nowMs);
  }

  /** Takes the right to send one request; false if there is none now. */
  tryTake(serverId: string, requestsPerSecond: number, nowMs: number): boolean {
    if (this.waitMs(serverId, requestsPerSecond, nowMs) > 0) return false;
    const { intervalMs } = this.#shareOf(serverId, requestsPerSecond);
    this.#nextAtMs.set(serverId, nowMs + intervalMs);
    return true;
  }

  /** Forgets the servers that are gone and whose next request would be due anyway. */
  removeGone(isPresent: (serverId: string) => boolean, nowMs: number): void {
    for (const serverId of this.#shares.keys()) {
      if (!isPresent(serverId)) this.#shares.delete(serverId);
    }
    for (const [serverId, nextAtMs] of this.#nextAtMs) {
      if (!isPresent(serverId) && nextAtMs <= nowMs) {
        this.#nextAtMs.delete(serverId);
      }
    }
  }

  #shareOf(serverId: string, requestsPerSecond: number): Share {
    const known = this.#shares.get(serverId);
    if (known?.requestsPerSecond === requestsPerSecond) return known;
    const share = {
      requestsPerSecond,
      intervalMs: this.#findIntervalMs(serverId, requestsPerSecond),
    };
    this.#shares.set(serverId, share);
    return share;
  }

  #findIntervalMs(serverId: string, requestsPerSecond: number): number {
    const isMember = this.#daemonIds.includes(this.#daemonId);
    if (!isMember || !(requestsPerSecond > 0)) return Infinity;
    const ratePerView = requestsPerSecond / viewCount;
    const requestsPerView = Math.max(1, Math.floor(ratePerView));
    const namedCount = Math.min(requestsPerView, this.#daemonIds.length);
    const ownHash = hashFraction(`${this.#daemonId}/${serverId}`);
    const betterCount = this.#daemonIds
      .filter((id) => hashFraction(`${id}/${serverId}`) > ownHash)
      .length;
    if (betterCount >= namedCount) return Infinity;
    const perDaemon = Math.floor(requestsPerView / namedCount);
    return msPerSecond / Math.min(perDaemon, ratePerView);
  }
}
