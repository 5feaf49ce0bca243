/** Places the settings table into a page between two marker comments. */
import { createSettingsTable } from "./settings_text.ts";

const beginMarker = "<!-- settings: begin -->";
const endMarker = "<!-- settings: end -->";

/** Replaces what stands between the markers; throws when they are missing. */
export function replaceSettingsTable(page: string): string {
  const beginIndex = page.indexOf(beginMarker);
  const endIndex = page.indexOf(endMarker);
  if (beginIndex < 0 || endIndex < beginIndex) {
    throw new Error("the page has no markers for the settings table");
  }
  const head = page.slice(0, beginIndex + beginMarker.length);
  const tail = page.slice(endIndex);
  return `${head}\n\n${createSettingsTable()}\n\n${tail}`;
}
