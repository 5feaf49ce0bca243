/** Renders tables and values as aligned text for a terminal. */

/** A column; the cells of a numeric column are aligned to the right. */
export interface TableColumn {
  readonly title: string;
  readonly isNumeric?: boolean;
}

const columnGap = "  ";

/** Renders a header and one line for each row; cells are plain text. */
export function formatTable(
  columns: readonly TableColumn[],
  rows: readonly (readonly string[])[],
): string[] {
  const titles = columns.map(({ title }) => title);
  const widths = columns.map((_, index) =>
    Math.max(...[titles, ...rows].map((row) => row[index]?.length ?? 0))
  );
  return [titles, ...rows].map((row) =>
    columns
      .map(({ isNumeric }, index) => {
        const cell = row[index] ?? "";
        const width = widths[index] ?? 0;
        return isNumeric === true ? cell.padStart(width) : cell.padEnd(width);
      })
      .join(columnGap)
      .trimEnd()
  );
}

/** Renders names and values, one pair per line. */
export function formatFields(
  fields: readonly (readonly [name: string, value: string])[],
): string[] {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields.map(([name, value]) =>
    `${name.padEnd(width)}${columnGap}${value}`.trimEnd()
  );
}

/** Renders a value that may be empty. */
export function formatOptional(text: string): string {
  return text === "" ? "-" : text;
}

/** Renders an instant of wall time as ISO 8601 in UTC. */
export function formatWallTime(wallTimeMs: bigint | number): string {
  return new Date(Number(wallTimeMs)).toISOString();
}
