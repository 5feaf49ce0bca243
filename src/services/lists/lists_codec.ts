/** The stored forms of accepted lists: the table row and the text object. */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { ListsRevision, ListTexts } from "./lists.ts";

/** The row that names the version in force. */
export const listsRowKey = "lists/current";

/** Revisions kept in the row, newest first. */
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

/** The content of the row. */
export type ListsRecord = z.infer<typeof recordSchema>;

const textsSchema = z.object({
  plansText: z.string(),
  allowancesText: z.string(),
});

/** Encodes the row's value. */
export function encodeRecord(record: ListsRecord): string {
  return JSON.stringify(record);
}

/** Decodes the row's value; throws when it is not a record. */
export function decodeRecord(value: string): ListsRecord {
  return recordSchema.parse(JSON.parse(value));
}

/** The record that follows `previous`. */
export function createNextRecord(
  previous: ListsRecord | undefined,
  current: ListsRevision,
): ListsRecord {
  const earlier = previous === undefined
    ? []
    : [previous.current, ...previous.earlier];
  return { current, earlier: earlier.slice(0, maxRevisionCount - 1) };
}

/** Every revision of a record, newest first. */
export function listRevisions(record: ListsRecord): readonly ListsRevision[] {
  return [record.current, ...record.earlier];
}

/** The object that holds the texts of a revision. */
export function objectNameOf(revision: ListsRevision): string {
  return `lists/${revision.version}-${revision.contentHash}`;
}

/** Encodes the texts as stored. */
export function encodeTexts(texts: ListTexts): string {
  const { plansText, allowancesText } = texts;
  return JSON.stringify({ plansText, allowancesText });
}

/** The hash under which texts are stored. */
export function hashTexts(texts: ListTexts): string {
  return createHash("sha256").update(encodeTexts(texts)).digest("hex");
}

/** Decodes stored texts; undefined unless they have the expected hash. */
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
