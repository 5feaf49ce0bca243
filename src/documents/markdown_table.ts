/** Renders Markdown tables with the alignment that `deno fmt` produces. */

/** Renders a header row, the delimiter row, and the given rows. */
export function formatMarkdownTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0))
  );
  const delimiterRow = widths.map((width) => "-".repeat(width));
  return [header, delimiterRow, ...rows]
    .map((row) => formatRow(row, widths))
    .join("\n");
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  const cells = widths.map((width, column) =>
    (row[column] ?? "").padEnd(width)
  );
  return `| ${cells.join(" | ")} |`;
}
