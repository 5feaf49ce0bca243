/**
 * Checks the guarantees of the soak: compares the answers that callers received
 * with the executions of the backend servers.
 */
import { groupBy } from "../../collections/group_by.ts";
import {
  type CallerRecord,
  isRefusedUnrun,
  isSuccess,
} from "../../../standins/fleet/caller_standin.ts";
import type { Execution } from "../../../standins/fleet/key_server_standin.ts";

/** An execution with the identifier of its server. */
export interface ServerExecution extends Execution {
  readonly serverId: string;
}

/** Observations from outside the daemons. */
export interface SoakEvidence {
  readonly records: readonly CallerRecord[];
  readonly executions: readonly ServerExecution[];
  /** Whether every event of the soak run was a planned operation, which must lose no answer. */
  readonly isPlannedOnly: boolean;
}

/** The method of requests that may be executed at most once. */
export const nonIdempotentMethod = "POST";

/** Returns one line for each violation; none if every guarantee was upheld. */
export function findGuaranteeViolations(evidence: SoakEvidence): string[] {
  const { records, executions, isPlannedOnly } = evidence;
  const executionsByRequestId = groupBy(
    executions,
    ({ requestId }) => requestId,
  );
  const recordsByRequestId = new Map(
    records.map((record) => [record.id, record]),
  );
  return [
    ...records.flatMap((record) =>
      checkRecord(record, {
        executions: executionsByRequestId.get(record.id) ?? [],
        isPlannedOnly,
      })
    ),
    ...executions.flatMap((execution) =>
      checkExecution(execution, recordsByRequestId.get(execution.requestId))
    ),
  ];
}

function checkRecord(
  record: CallerRecord,
  { executions, isPlannedOnly }: {
    readonly executions: readonly ServerExecution[];
    readonly isPlannedOnly: boolean;
  },
): string[] {
  const violations: string[] = [];
  const report = (detail: string) =>
    violations.push(
      `${record.id} ${record.method} ${record.path} at daemon ${record.daemonIndex}: ${detail}`,
    );
  const isNonIdempotent = record.method === nonIdempotentMethod;
  if (isNonIdempotent && executions.length > 1) {
    report(`ran ${executions.length} times: ${listServers(executions)}`);
  }
  if (isRefusedUnrun(record) && isNonIdempotent && executions.length > 0) {
    report(`status ${record.status}, but ran at ${listServers(executions)}`);
  }
  if (isSuccess(record)) {
    const isSigned = executions.some(({ serverId }) =>
      record.signature === `${serverId}:${record.id}`
    );
    if (!isSigned) report(`signature ${record.signature} of no run`);
    if (record.answerBody !== `answer to ${record.id}`) {
      report(`answered with ${JSON.stringify(record.answerBody)}`);
    }
  }
  // A read that ends with 502 or 504 may be sent again.
  const isCutOff = record.status === undefined;
  const isLost = isCutOff ||
    (isNonIdempotent && (record.status === 502 || record.status === 504));
  if (isPlannedOnly && isLost && executions.length > 0) {
    report(
      `lost in planned work (${record.error ?? `status ${record.status}`}), ` +
        `though it ran at ${listServers(executions)}`,
    );
  }
  return violations;
}

/** Checks that the server executed a request exactly as its caller sent the request. */
function checkExecution(
  execution: ServerExecution,
  record: CallerRecord | undefined,
): string[] {
  const isSame = record !== undefined && record.method === execution.method &&
    record.path === execution.path && record.body === execution.body &&
    record.key === execution.key;
  if (isSame) return [];
  const sent = record === undefined ? "nobody has sent" : "its caller has not";
  return [
    `${execution.requestId}: ${execution.serverId} ran ${execution.method} ${execution.path}, which ${sent}`,
  ];
}

function listServers(executions: readonly ServerExecution[]): string {
  return executions.map(({ serverId }) => serverId).join(", ");
}
