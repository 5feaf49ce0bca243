/** Tables and numbers as text, for people who read a terminal. */

/** At most three digits after the point. */
export function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

/** Renders rows in aligned columns; the first row is the heading. */
export function formatTable(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return rows.map((row) =>
    row.map((cell, column) =>
      column === 0
        ? cell.padEnd(widths[column]!)
        : cell.padStart(widths[column]!)
    ).join("  ")
  );
}
