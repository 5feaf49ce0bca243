/**
 * Checks the guarantees of the soak: compares the answers that callers received
 * with the runs of the backend servers.
 */
import { groupBy } from "../../collections/group_by.ts";
import {
  type CallerRecord,
  isNotRunPromise,
  isSuccess,
} from "../../../standins/fleet/caller_standin.ts";
import type { Run } from "../../../standins/fleet/key_server_standin.ts";

/** A run with the server that carried it out. */
export interface ServerRun extends Run {
  readonly serverId: string;
}

/** Observations from outside the daemons. */
export interface SoakEvidence {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly ServerRun[];
  /** Every event of the run was a planned operation, which must lose no answer. */
  readonly isPlannedOnly: boolean;
}

/** The method of requests that may run at most once. */
export const nonIdempotentMethod = "POST";

/** Returns one line for each violation; none if every guarantee was upheld. */
export function findGuaranteeViolations(evidence: SoakEvidence): string[] {
  const { records, runs, isPlannedOnly } = evidence;
  const runsById = groupBy(runs, ({ requestId }) => requestId);
  const recordsById = new Map(records.map((record) => [record.id, record]));
  return [
    ...records.flatMap((record) =>
      checkRecord(record, {
        runs: runsById.get(record.id) ?? [],
        isPlannedOnly,
      })
    ),
    ...runs.flatMap((run) => checkRun(run, recordsById.get(run.requestId))),
  ];
}

function checkRecord(
  record: CallerRecord,
  { runs, isPlannedOnly }: {
    readonly runs: readonly ServerRun[];
    readonly isPlannedOnly: boolean;
  },
): string[] {
  const violations: string[] = [];
  const report = (detail: string) =>
    violations.push(
      `${record.id} ${record.method} ${record.path} at daemon ${record.daemonIndex}: ${detail}`,
    );
  const isNonIdempotent = record.method === nonIdempotentMethod;
  if (isNonIdempotent && runs.length > 1) {
    report(`ran ${runs.length} times: ${listServers(runs)}`);
  }
  if (isNotRunPromise(record) && isNonIdempotent && runs.length > 0) {
    report(`status ${record.status}, but ran at ${listServers(runs)}`);
  }
  if (isSuccess(record)) {
    const isSigned = runs.some(({ serverId }) =>
      record.signature === `${serverId}:${record.id}`
    );
    if (!isSigned) report(`signature ${record.signature} of no run`);
    if (record.answerBody !== `answer to ${record.id}`) {
      report(`answered with ${JSON.stringify(record.answerBody)}`);
    }
  }
  const isLost = record.status === undefined || record.status === 502 ||
    record.status === 504;
  if (isPlannedOnly && isNonIdempotent && isLost && runs.length > 0) {
    report(
      `lost in planned work (${record.error ?? `status ${record.status}`}), ` +
        `though it ran at ${listServers(runs)}`,
    );
  }
  return violations;
}

/** Checks that a run was of a request as its caller sent it. */
function checkRun(run: ServerRun, record: CallerRecord | undefined): string[] {
  const isSame = record !== undefined && record.method === run.method &&
    record.path === run.path && record.body === run.body &&
    record.key === run.key;
  if (isSame) return [];
  const sent = record === undefined ? "nobody has sent" : "its caller has not";
  return [
    `${run.requestId}: ${run.serverId} ran ${run.method} ${run.path}, which ${sent}`,
  ];
}

function listServers(runs: readonly ServerRun[]): string {
  return runs.map(({ serverId }) => serverId).join(", ");
}
