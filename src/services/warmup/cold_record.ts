/**
 * What a daemon knows of the coldness of one incarnation of a server, from the
 * versions of its row, from health checks and from connections that broke. A
 * server that restarts under load must not get the load of its former
 * incarnation. This module does no I/O.
 */

/** Where the knowledge comes from. */
export enum ColdSource {
  Row = "row",
  HealthCheck = "health-check",
}

/** What may be sent to a server. */
export enum Warmth {
  /** Its whole part. */
  Warm = "warm",
  /** Its part by degrees, since it was cold a short time ago. */
  Warming = "warming",
  /** Only what the shares of the fleet allow. */
  Cold = "cold",
  /** As `Cold`: a connection broke, and the server may have restarted under its id. */
  Unconfirmed = "unconfirmed",
}

/** The server's clock may run slow, so that it is cold for longer than it says. */
const clockDriftFactor = 1.02;
const coldSlackMs = 50;
/** Longest time for which a server is unconfirmed; its row has arrived by then unless the store is out. */
const maxUnconfirmedMs = 5_000;
/** Time after which a health check has usually confirmed the state of a server. */
const confirmationMs = 600;
/** Longest time that a row takes from the server to this daemon, while the store answers. */
const rowDelayMs = 1_500;
/** Time in which a server that was cold gets its whole part again. */
const rampMs = 3_000;
/** Part of a server that has just become warm. */
const firstPart = 0.1;

/** The coldness of one incarnation. */
export class ColdRecord {
  #rowVersion: number | undefined;
  #coldEndsAtMs = -Infinity;
  #checkedAtMs = -Infinity;
  #unconfirmedEndsAtMs = -Infinity;

  /** Notes the row; one whose version is known changes nothing. Returns true if the server turns cold by it. */
  noteRow(
    row: { readonly version: number; readonly coldLeftMs: number },
    nowMs: number,
  ): boolean {
    if (row.version === this.#rowVersion) return false;
    this.#rowVersion = row.version;
    const isOlderThanCheck = nowMs - this.#checkedAtMs < rowDelayMs;
    if (row.coldLeftMs <= 0 && isOlderThanCheck) return false;
    return this.#setColdLeft(row.coldLeftMs, nowMs);
  }

  /** Notes what the server said itself. Returns true if it turns cold by it. */
  noteHealthCheck(coldLeftMs: number, nowMs: number): boolean {
    this.#checkedAtMs = nowMs;
    this.#unconfirmedEndsAtMs = -Infinity;
    return this.#setColdLeft(coldLeftMs, nowMs);
  }

  /** Notes that a connection was refused or broke. Returns true if the server is unconfirmed from now on. */
  noteBroken(nowMs: number): boolean {
    const wasUnconfirmed = nowMs < this.#unconfirmedEndsAtMs;
    this.#unconfirmedEndsAtMs = nowMs + maxUnconfirmedMs;
    return !wasUnconfirmed;
  }

  /** How much longer the server is cold, by its own word. */
  coldLeftMs(nowMs: number): number {
    return Math.max(0, this.#coldEndsAtMs - nowMs);
  }

  /** How much longer the server is likely to be restricted: cold or unconfirmed. */
  restrictedMs(nowMs: number): number {
    const unconfirmedMs = this.#unconfirmedEndsAtMs - nowMs;
    return Math.max(
      this.coldLeftMs(nowMs),
      Math.min(confirmationMs, unconfirmedMs),
    );
  }

  /** What may be sent to the server. */
  warmthAt(nowMs: number): Warmth {
    if (nowMs < this.#coldEndsAtMs) return Warmth.Cold;
    if (nowMs < this.#unconfirmedEndsAtMs) return Warmth.Unconfirmed;
    return nowMs < this.#coldEndsAtMs + rampMs ? Warmth.Warming : Warmth.Warm;
  }

  /** The fraction of its part that a server that is not restricted gets. */
  partAt(nowMs: number): number {
    const progress = (nowMs - this.#coldEndsAtMs) / rampMs;
    return Math.min(1, Math.max(0, firstPart + (1 - firstPart) * progress));
  }

  #setColdLeft(coldLeftMs: number, nowMs: number): boolean {
    const wasCold = nowMs < this.#coldEndsAtMs;
    if (coldLeftMs > 0) {
      this.#coldEndsAtMs = nowMs + coldLeftMs * clockDriftFactor + coldSlackMs;
      return !wasCold;
    }
    if (wasCold) this.#coldEndsAtMs = nowMs;
    return false;
  }
}
