/**
 * Decides whether a pending release is complete: the former home confirmed the
 * release, or the former home is lost and every permit that it could hold has
 * expired.
 */
import type { DaemonId } from "../../types/types.ts";
import type { AssignmentRow, PendingRelease } from "./assignment_codec.ts";
import type { FleetView } from "./fleet_view.ts";
import type { PermitLedger } from "./permit_ledger.ts";

/** Input of the tracker apart from the published versions. */
export interface ReleaseTrackerOptions {
  readonly fleet: FleetView;
  readonly ledger: PermitLedger;
  /** Local instant at which this coordinator took the lease. */
  readonly takenAtMs: number;
}

/** Records when row versions were published, and checks releases. */
export class ReleaseTracker {
  readonly #options: ReleaseTrackerOptions;
  readonly #publishedAtMs = new Map<string, number>();

  constructor(options: ReleaseTrackerOptions) {
    this.#options = options;
  }

  /** Records that rows are published to daemons from `nowMs` on. */
  recordPublished(rows: readonly AssignmentRow[], nowMs: number): void {
    for (const { service, version } of rows) {
      this.#publishedAtMs.set(createVersionKey(service, version), nowMs);
    }
  }

  /**
   * Whether a release is complete. A live home must confirm the release,
   * however long its requests run. A lost home can send nothing once its permit
   * has expired.
   */
  isReleased(
    service: string,
    { release, liveIds, nowMs }: {
      readonly release: PendingRelease;
      readonly liveIds: ReadonlySet<DaemonId>;
      readonly nowMs: number;
    },
  ): boolean {
    const { fleet, ledger, takenAtMs } = this.#options;
    const { daemonId, sinceVersion } = release;
    if (fleet.hasReleased(daemonId, service, sinceVersion)) return true;
    if (liveIds.has(daemonId)) return false;
    const publishedAtMs = this.#publishedAtMs.get(
      createVersionKey(service, sinceVersion),
    );
    return nowMs >= ledger.expiresAtMs(daemonId, publishedAtMs ?? takenAtMs);
  }

  /**
   * Removes versions that are neither current in `rows` nor awaited by one of
   * their pending releases.
   */
  pruneVersions(rows: readonly AssignmentRow[]): void {
    const awaited = new Set(
      rows.flatMap((row) => [
        createVersionKey(row.service, row.version),
        ...row.pendingReleases.map((release) =>
          createVersionKey(row.service, release.sinceVersion)
        ),
      ]),
    );
    for (const version of this.#publishedAtMs.keys()) {
      if (!awaited.has(version)) this.#publishedAtMs.delete(version);
    }
  }
}

function createVersionKey(service: string, version: number): string {
  return `${service}/${version}`;
}
