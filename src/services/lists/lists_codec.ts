/**
 * Encodes accepted lists for the platform: the table row that names the version
 * in force, and the objects that hold the texts.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { ListsRevision, ListTexts } from "./lists.ts";

/** Key of the row that names the version in force. */
export const listsRowKey = "lists/current";

/** Maximum number of revisions in the row, including the current one. */
export const maxRevisionCount = 32;

const revisionSchema = z.object({
  version: z.int(),
  author: z.string(),
  wallTimeMs: z.number(),
  writeId: z.string(),
  contentHash: z.string(),
});

const recordSchema = z.object({
  current: revisionSchema,
  /** Earlier revisions, newest first. */
  earlier: z.array(revisionSchema),
});

/** The value of the row. */
export type ListsRecord = z.infer<typeof recordSchema>;

const textsSchema = z.object({
  plansText: z.string(),
  allowancesText: z.string(),
});

export function encodeRecord(record: ListsRecord): string {
  return JSON.stringify(record);
}

/** Decodes the value of the row; throws if it is malformed. */
export function decodeRecord(value: string): ListsRecord {
  return recordSchema.parse(JSON.parse(value));
}

/** Creates the record that replaces `previous` when `current` is committed. */
export function createNextRecord(
  previous: ListsRecord | undefined,
  current: ListsRevision,
): ListsRecord {
  const earlier = previous === undefined
    ? []
    : [previous.current, ...previous.earlier];
  return { current, earlier: earlier.slice(0, maxRevisionCount - 1) };
}

/** Returns all revisions of a record, newest first. */
export function listRevisions(record: ListsRecord): readonly ListsRevision[] {
  return [record.current, ...record.earlier];
}

/** Returns the name of the object that holds the texts of a revision. */
export function objectNameOf(revision: ListsRevision): string {
  return `lists/${revision.version}-${revision.contentHash}`;
}

/** Encodes texts for the object store. */
export function encodeTexts(texts: ListTexts): string {
  const { plansText, allowancesText } = texts;
  return JSON.stringify({ plansText, allowancesText });
}

/** Returns the SHA-256 of the encoded texts, in hexadecimal. */
export function hashTexts(texts: ListTexts): string {
  return createHash("sha256").update(encodeTexts(texts)).digest("hex");
}

/** Decodes stored texts; undefined if they are malformed or their hash is not `contentHash`. */
export function tryDecodeTexts(
  content: string,
  contentHash: string,
): ListTexts | undefined {
  try {
    const texts = textsSchema.parse(JSON.parse(content));
    return hashTexts(texts) === contentHash ? texts : undefined;
  } catch {
    return undefined;
  }
}
