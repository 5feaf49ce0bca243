/** Renders tables and numbers as text for a terminal. */

/** Renders an integer as it is, and any other number with three decimals. */
export function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

/** Renders rows in aligned columns; the first row is the header. */
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
