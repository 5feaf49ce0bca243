/** Renders Markdown tables aligned as the formatter leaves them. */

/** Renders a header row and the rows below it. */
export function formatMarkdownTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0))
  );
  const rule = widths.map((width) => "-".repeat(width));
  return [header, rule, ...rows]
    .map((row) => formatRow(row, widths))
    .join("\n");
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  const cells = widths.map((width, column) =>
    (row[column] ?? "").padEnd(width)
  );
  return `| ${cells.join(" | ")} |`;
}
