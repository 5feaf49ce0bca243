/**
 * The incarnations of backend servers that announced in an answer that they are
 * about to stop. An announcement holds for the rest of the incarnation, also
 * when its entry still says that it accepts requests, or is written again.
 */
import { incarnationOf, type ServerEntry } from "../../types/routing.ts";

/** An announcement is kept at least this long; a server that leaves has ended by then. */
const minLifetimeMs = 600_000;
/** Number of announcements above which old ones are removed. */
const maxCount = 4_096;

/** Remembers announcements. */
export class LeavingAnnouncements {
  readonly #announcedAtMs = new Map<string, number>();

  /** Returns false if the incarnation's announcement is known. */
  add(incarnation: string, nowMs: number): boolean {
    if (this.#announcedAtMs.has(incarnation)) return false;
    if (this.#announcedAtMs.size >= maxCount) this.#removeOld(nowMs);
    this.#announcedAtMs.set(incarnation, nowMs);
    return true;
  }

  /** Returns the entry, as draining if its incarnation is leaving. */
  applyTo(entry: ServerEntry): ServerEntry {
    if (entry.isDraining || !this.#announcedAtMs.has(incarnationOf(entry))) {
      return entry;
    }
    return { ...entry, isDraining: true };
  }

  /** The incarnations among the entries that are leaving. */
  listPresent(entries: Iterable<ServerEntry>): readonly string[] {
    if (this.#announcedAtMs.size === 0) return [];
    return [...entries].map(incarnationOf)
      .filter((incarnation) => this.#announcedAtMs.has(incarnation));
  }

  #removeOld(nowMs: number): void {
    for (const [incarnation, announcedAtMs] of this.#announcedAtMs) {
      if (nowMs - announcedAtMs < minLifetimeMs) return;
      this.#announcedAtMs.delete(incarnation);
    }
  }
}
