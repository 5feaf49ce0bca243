/** Replaces generated sections of pages, each between two marker comments. */

/** Replaces the table of one section; throws if the page lacks the section's markers. */
export function replaceSection(
  page: string,
  part: { readonly section: string; readonly table: string },
): string {
  const beginMarker = `<!-- ${part.section}: begin -->`;
  const endMarker = `<!-- ${part.section}: end -->`;
  const beginIndex = page.indexOf(beginMarker);
  const endIndex = page.indexOf(endMarker);
  if (beginIndex < 0 || endIndex < beginIndex) {
    throw new Error(`the page has no markers for its ${part.section}`);
  }
  const head = page.slice(0, beginIndex + beginMarker.length);
  return `${head}\n\n${part.table}\n\n${page.slice(endIndex)}`;
}
