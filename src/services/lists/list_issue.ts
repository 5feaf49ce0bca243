/** Issues found in a list, and their format in messages for operators. */
import type { ListName } from "../../types/enums.ts";

/** A path of keys from the root of a list. */
export type ListPath = readonly string[];

/** A position in the text of a list; line and column count from 1. */
export interface ListPosition {
  readonly line: number;
  readonly column: number;
}

/** An error or a warning. */
export interface ListIssue extends ListPosition {
  readonly listName: ListName;
  readonly path: ListPath;
  /** The invalid value, formatted; undefined if the field is missing or the issue concerns its name. */
  readonly value: string | undefined;
  readonly unit: string | undefined;
  readonly problem: string;
}

/** Formats an issue as `allowances.yaml:4:11 plans.gold.rank is "high": ...`. */
export function formatListIssue(issue: ListIssue): string {
  const position = `${issue.listName}:${issue.line}:${issue.column}`;
  const field = issue.path.length === 0 ? "the list" : issue.path.join(".");
  const unit = issue.unit === undefined ? "" : ` [${issue.unit}]`;
  const value = issue.value === undefined ? "" : ` is ${issue.value}`;
  return `${position} ${field}${unit}${value}: ${issue.problem}`;
}

/** Orders issues by list, line and column. */
export function compareListIssues(a: ListIssue, b: ListIssue): number {
  if (a.listName !== b.listName) return a.listName < b.listName ? 1 : -1;
  return a.line - b.line || a.column - b.column;
}
