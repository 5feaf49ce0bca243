/**
 * Accepts a change of the lists: stores the texts, then commits one row by
 * compare-and-set. A lost answer is resolved by the write's identifier, so a
 * change is neither applied twice nor reported as failed when it took effect.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { TableRow } from "../../host/platform_table.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import { formatDifference } from "./list_difference.ts";
import { formatListIssue } from "./list_issue.ts";
import type { ListsRevision, ListTexts } from "./lists.ts";
import {
  createNextRecord,
  decodeRecord,
  encodeRecord,
  encodeTexts,
  hashTexts,
  listRevisions,
  type ListsRecord,
  listsRowKey,
  objectNameOf,
  tryDecodeTexts,
} from "./lists_codec.ts";
import { parseLists } from "./parse_lists.ts";

const resolveTimeoutMs = 10_000;
const resolveIntervalMs = 100;
const maxAuthorLength = 200;

/** A change as an operator asks for it. */
export interface ListsChange {
  readonly texts: ListTexts;
  readonly baseVersion: number;
  readonly author: string;
  /** The version in force on this daemon; 0 when there is none. */
  readonly heldVersion: number;
}

/** Checks, stores and commits a change; returns the record in force. */
export async function applyLists(
  services: ServiceLookup,
  change: ListsChange,
): Promise<Result<ListsRecord, RouterError>> {
  const { errors } = parseLists(change.texts);
  if (errors.length > 0) {
    return err(
      new RouterError(MessageCode.ListInvalid, "check lists", {
        detail: errors.map(formatListIssue).join("\n"),
      }),
    );
  }
  const read = await services.get(ServiceName.PlatformTable).read(listsRowKey);
  if (read.isErr()) return err(createNotApplied(read.error));
  const row = read.value;
  const record = row === undefined ? undefined : decodeRecord(row.value);
  const contentHash = hashTexts(change.texts);
  if (record?.current.contentHash === contentHash) return ok(record);
  const version = Math.max(record?.current.version ?? 0, change.heldVersion);
  if (version !== change.baseVersion) {
    return err(await createConflict(services, { record, change }));
  }
  const next = createNextRecord(record, {
    version: version + 1,
    author: change.author.slice(0, maxAuthorLength),
    wallTimeMs: services.get(ServiceName.Clock).wallTimeMs(),
    writeId: services.get(ServiceName.Random).nextId(),
    contentHash,
  });
  const stored = await storeTexts(services, {
    objectName: objectNameOf(next.current),
    content: encodeTexts(change.texts),
  });
  if (stored.isErr()) return err(createNotApplied(stored.error));
  return await commitRecord(services, { row, next, change });
}

/** Writes an object; when the answer is lost, looks whether it is there. */
async function storeTexts(
  services: ServiceLookup,
  { objectName, content }: {
    readonly objectName: string;
    readonly content: string;
  },
): Promise<Result<void, RouterError>> {
  const store = services.get(ServiceName.ObjectStore);
  const stored = await store.putObject(objectName, content);
  if (stored.isOk() || stored.error.outcome !== AttemptOutcome.Unknown) {
    return stored;
  }
  const found = await store.getObject(objectName);
  const isStored = found.isOk() && found.value === content;
  return isStored ? ok(undefined) : stored;
}

interface PendingCommit {
  readonly row: TableRow | undefined;
  readonly next: ListsRecord;
  readonly change: ListsChange;
}

/** What a look at the row tells about a write. */
enum WriteFate {
  Applied = "applied",
  NotYetApplied = "not-yet-applied",
  Superseded = "superseded",
}

async function commitRecord(
  services: ServiceLookup,
  pending: PendingCommit,
): Promise<Result<ListsRecord, RouterError>> {
  const clock = services.get(ServiceName.Clock);
  const table = services.get(ServiceName.PlatformTable);
  const giveUpAtMs = clock.nowMs() + resolveTimeoutMs;
  const write = {
    key: listsRowKey,
    value: encodeRecord(pending.next),
    expectedVersion: pending.row?.version ?? 0,
  };
  let isSent = false;
  for (;;) {
    const committed = await table.commit([write]);
    if (committed.isOk()) {
      const { isCommitted, rows } = committed.value;
      if (isCommitted) return ok(pending.next);
      return await settleFate(services, { ...pending, found: rows[0] });
    }
    isSent ||= committed.error.outcome === AttemptOutcome.Unknown;
    if (!isSent) return err(createNotApplied(committed.error));
    const seen = await table.read(listsRowKey);
    if (
      seen.isOk() && fateOf(pending, seen.value) !== WriteFate.NotYetApplied
    ) {
      return await settleFate(services, { ...pending, found: seen.value });
    }
    if (clock.nowMs() >= giveUpAtMs) return err(createUnresolved(pending.next));
    await clock.sleep(resolveIntervalMs);
  }
}

function fateOf(
  { row, next }: PendingCommit,
  found: TableRow | undefined,
): WriteFate {
  const record = found === undefined ? undefined : decodeRecord(found.value);
  const isListed = record !== undefined &&
    listRevisions(record).some(({ writeId }) =>
      writeId === next.current.writeId
    );
  if (isListed) return WriteFate.Applied;
  return (found?.version ?? 0) === (row?.version ?? 0)
    ? WriteFate.NotYetApplied
    : WriteFate.Superseded;
}

async function settleFate(
  services: ServiceLookup,
  settled: PendingCommit & { readonly found: TableRow | undefined },
): Promise<Result<ListsRecord, RouterError>> {
  const { found, change, next } = settled;
  if (fateOf(settled, found) === WriteFate.Applied) return ok(next);
  const record = found === undefined ? undefined : decodeRecord(found.value);
  return err(await createConflict(services, { record, change }));
}

/** Describes who changed what since the operator read the lists. */
async function createConflict(
  services: ServiceLookup,
  { record, change }: {
    readonly record: ListsRecord | undefined;
    readonly change: ListsChange;
  },
): Promise<RouterError> {
  const step = "apply lists";
  if (record === undefined) {
    return new RouterError(MessageCode.ListConflict, step, {
      detail: `no lists are accepted, but the change is based on version ` +
        `${change.baseVersion}`,
    });
  }
  const { current } = record;
  const inForce = await tryLoadTexts(services, current);
  const baseRevision = listRevisions(record)
    .find(({ version }) => version === change.baseVersion);
  const base = baseRevision === undefined
    ? undefined
    : await tryLoadTexts(services, baseRevision);
  const difference = inForce === undefined
    ? "the texts in force can't be read at present"
    : formatDifference(base ?? change.texts, inForce);
  const compared = base === undefined ? "your texts" : "your base";
  return new RouterError(MessageCode.ListConflict, step, {
    detail: `version ${current.version} by ${current.author} is in force, ` +
      `the change is based on version ${change.baseVersion}; ` +
      `from ${compared} to version ${current.version}:\n${difference}`,
  });
}

async function tryLoadTexts(
  services: ServiceLookup,
  revision: ListsRevision,
): Promise<ListTexts | undefined> {
  const content = await services.get(ServiceName.ObjectStore)
    .getObject(objectNameOf(revision));
  if (content.isErr() || content.value === undefined) return undefined;
  return tryDecodeTexts(content.value, revision.contentHash);
}

/** No row was written, whatever became of the texts. */
function createNotApplied(cause: RouterError): RouterError {
  return new RouterError(MessageCode.PlatformUnavailable, "apply lists", {
    peer: cause.peer ?? "platform",
    detail: "the lists were not changed",
    cause,
  });
}

function createUnresolved(record: ListsRecord): RouterError {
  const { version, writeId } = record.current;
  return new RouterError(MessageCode.PlatformAnswerLost, "apply lists", {
    peer: "platform",
    detail: `version ${version}, write ${writeId}; ` +
      "the revisions will show it, and the same texts may be sent again",
    outcome: AttemptOutcome.Unknown,
  });
}
