/** Formats the difference between two versions of the lists for operators. */
import { ListName } from "../../types/enums.ts";
import type { ListTexts } from "./lists.ts";

const maxShownLineCount = 40;

/** Formats the lines that only one of the versions has, with their line numbers. */
export function formatDifference(before: ListTexts, after: ListTexts): string {
  const lines = [
    ...compareTexts(ListName.Plans, before.plansText, after.plansText),
    ...compareTexts(
      ListName.Allowances,
      before.allowancesText,
      after.allowancesText,
    ),
  ];
  const omittedLineCount = lines.length - maxShownLineCount;
  if (omittedLineCount <= 0) return lines.join("\n");
  const shown = lines.slice(0, maxShownLineCount);
  return [...shown, `... ${omittedLineCount} more lines`].join("\n");
}

function compareTexts(
  listName: ListName,
  before: string,
  after: string,
): string[] {
  const beforeLines = before.split("\n");
  const afterLines = after.split("\n");
  return [
    ...findMissingLines(beforeLines, afterLines)
      .map(({ line, text }) => `- ${listName}:${line} ${text}`),
    ...findMissingLines(afterLines, beforeLines)
      .map(({ line, text }) => `+ ${listName}:${line} ${text}`),
  ];
}

interface NumberedLine {
  readonly line: number;
  readonly text: string;
}

/** Returns the lines that `otherLines` lacks, including surplus occurrences of a line. */
function findMissingLines(
  lines: readonly string[],
  otherLines: readonly string[],
): NumberedLine[] {
  const counts = new Map<string, number>();
  for (const text of otherLines) counts.set(text, (counts.get(text) ?? 0) + 1);
  const missing: NumberedLine[] = [];
  for (const [index, text] of lines.entries()) {
    const count = counts.get(text) ?? 0;
    if (count > 0) counts.set(text, count - 1);
    else missing.push({ line: index + 1, text });
  }
  return missing;
}
