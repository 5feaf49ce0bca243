/**
 * Tells whether a former home has given a server up: it reported so, or it is
 * lost and every permit that it could hold has lapsed.
 */
import type { DaemonId } from "../../types/types.ts";
import type { AssignmentRow, PendingRelease } from "./assignment_codec.ts";
import type { FleetView } from "./fleet_view.ts";
import type { PermitLedger } from "./permit_ledger.ts";

/** What a tracker reads. */
export interface ReleaseFacts {
  readonly fleet: FleetView;
  readonly ledger: PermitLedger;
  /** Local instant at which this coordinator took the lease. */
  readonly takenAtMs: number;
}

/** Holds the instants at which row versions were first handed out. */
export class ReleaseTracker {
  readonly #facts: ReleaseFacts;
  readonly #handedOutAtMs = new Map<string, number>();

  constructor(facts: ReleaseFacts) {
    this.#facts = facts;
  }

  /** Notes that rows are handed out from `nowMs` on. */
  noteHandedOut(rows: readonly AssignmentRow[], nowMs: number): void {
    for (const { service, version } of rows) {
      this.#handedOutAtMs.set(versionNameOf(service, version), nowMs);
    }
  }

  /**
   * A live home must report its release, however long its work runs. A lost
   * one can send nothing once its permit has lapsed.
   */
  isReleased(
    service: string,
    { release, liveIds, nowMs }: {
      readonly release: PendingRelease;
      readonly liveIds: ReadonlySet<DaemonId>;
      readonly nowMs: number;
    },
  ): boolean {
    const { fleet, ledger, takenAtMs } = this.#facts;
    const { daemonId, sinceVersion } = release;
    if (fleet.hasReleased(daemonId, service, sinceVersion)) return true;
    if (liveIds.has(daemonId)) return false;
    const handedOutAtMs = this.#handedOutAtMs.get(
      versionNameOf(service, sinceVersion),
    );
    return nowMs >= ledger.lapseAtMs(daemonId, handedOutAtMs ?? takenAtMs);
  }

  /** Drops the dates of versions that no release of `rows` waits for. */
  forgetVersions(rows: readonly AssignmentRow[]): void {
    const awaited = new Set(
      rows.flatMap((row) => [
        versionNameOf(row.service, row.version),
        ...row.pendingReleases.map((release) =>
          versionNameOf(row.service, release.sinceVersion)
        ),
      ]),
    );
    for (const version of this.#handedOutAtMs.keys()) {
      if (!awaited.has(version)) this.#handedOutAtMs.delete(version);
    }
  }
}

function versionNameOf(service: string, version: number): string {
  return `${service}/${version}`;
}
