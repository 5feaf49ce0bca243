/**
 * The generated section of docs/OPERATIONS.md: the table of log events.
 * `npm run docs` writes it; a test checks that it is up to date.
 */
import { getLogEventDefinition, LogEvent } from "../diagnostics/log_events.ts";
import { formatMarkdownTable } from "./markdown_table.ts";
import { replaceSection } from "./page_section.ts";

/** Replaces the table of log events; throws if the page lacks its markers. */
export function updateOperationsPage(page: string): string {
  return replaceSection(page, {
    section: "log events",
    table: createEventTable(),
  });
}

function createEventTable(): string {
  const rows = Object.values(LogEvent).map((event) => {
    const { level, fields, meaning, advice } = getLogEventDefinition(event);
    const fieldNames = fields.map((field) => `\`${field}\``).join(", ");
    return [`\`${event}\``, level, fieldNames, meaning, advice];
  });
  return formatMarkdownTable(
    ["Event", "Level", "Fields", "Says", "What to do"],
    rows,
  );
}
