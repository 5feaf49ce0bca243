/** Renders line plots as SVG text, without a plotting library. */

/** One line of a plot. */
export interface PlotSeries {
  readonly name: string;
  readonly points: readonly PlotPoint[];
}

/** A point in the units of the axes. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
}

/** The series and the labels of a plot. */
export interface PlotOptions {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly PlotSeries[];
}

const widthPx = 800;
const heightPx = 400;
const marginPx = { left: 70, right: 150, top: 40, bottom: 50 };
const tickCount = 5;
const seriesColours = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00"];

/** An axis that starts at 0 and ends at a round number. */
interface Axis {
  readonly maximum: number;
  readonly lengthPx: number;
}

/** Renders a plot whose axes start at 0. */
export function createSvgPlot(options: PlotOptions): string {
  const points = options.series.flatMap((series) => series.points);
  const xAxis: Axis = {
    maximum: roundUpToTick(Math.max(0, ...points.map(({ x }) => x))),
    lengthPx: widthPx - marginPx.left - marginPx.right,
  };
  const yAxis: Axis = {
    maximum: roundUpToTick(Math.max(0, ...points.map(({ y }) => y))),
    lengthPx: heightPx - marginPx.top - marginPx.bottom,
  };
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" ` +
    `height="${heightPx}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    createText(options.title, { x: widthPx / 2, y: 20, anchor: "middle" }),
    ...createXTicks(xAxis),
    ...createYTicks(yAxis),
    createText(options.xLabel, {
      x: toXPx(xAxis, xAxis.maximum / 2),
      y: heightPx - 10,
      anchor: "middle",
    }),
    createText(options.yLabel, { x: 10, y: 30, anchor: "start" }),
    ...options.series.flatMap((series, index) =>
      createSeries(series, { index, xAxis, yAxis })
    ),
    "</svg>",
  ];
  return `${parts.join("\n")}\n`;
}

/** Rounds up to a number of the form 1, 2 or 5 times a power of ten; returns 1 for 0 and below. */
export function roundUpToTick(value: number): number {
  if (value <= 0) return 1;
  const power = 10 ** Math.floor(Math.log10(value));
  const factor = [1, 2, 5, 10].find((step) => value <= step * power) ?? 10;
  return factor * power;
}

function createSeries(
  series: PlotSeries,
  { index, xAxis, yAxis }: {
    readonly index: number;
    readonly xAxis: Axis;
    readonly yAxis: Axis;
  },
): readonly string[] {
  const colour = seriesColours[index % seriesColours.length]!;
  const points = series.points
    .map(({ x, y }) =>
      `${toXPx(xAxis, x).toFixed(1)},${toYPx(yAxis, y).toFixed(1)}`
    )
    .join(" ");
  return [
    `<polyline points="${points}" fill="none" stroke="${colour}" ` +
    'stroke-width="1.5"/>',
    createText(series.name, {
      x: widthPx - marginPx.right + 10,
      y: marginPx.top + 16 * (index + 1),
      anchor: "start",
      colour,
    }),
  ];
}

function createXTicks(axis: Axis): readonly string[] {
  return listTicks(axis).flatMap((value) => {
    const x = toXPx(axis, value);
    const bottom = heightPx - marginPx.bottom;
    return [
      createGridLine({ x1: x, y1: marginPx.top, x2: x, y2: bottom }),
      createText(String(value), { x, y: bottom + 16, anchor: "middle" }),
    ];
  });
}

function createYTicks(axis: Axis): readonly string[] {
  return listTicks(axis).flatMap((value) => {
    const y = toYPx(axis, value);
    const right = widthPx - marginPx.right;
    return [
      createGridLine({ x1: marginPx.left, y1: y, x2: right, y2: y }),
      createText(String(value), {
        x: marginPx.left - 6,
        y: y + 4,
        anchor: "end",
      }),
    ];
  });
}

function listTicks({ maximum }: Axis): readonly number[] {
  return Array.from(
    { length: tickCount + 1 },
    (_, index) => Number((maximum * index / tickCount).toPrecision(6)),
  );
}

function toXPx(axis: Axis, value: number): number {
  return marginPx.left + axis.lengthPx * value / axis.maximum;
}

function toYPx(axis: Axis, value: number): number {
  return heightPx - marginPx.bottom - axis.lengthPx * value / axis.maximum;
}

function createGridLine(
  { x1, y1, x2, y2 }: {
    readonly x1: number;
    readonly y1: number;
    readonly x2: number;
    readonly y2: number;
  },
): string {
  return `<line x1="${x1}" y1="${y1}" x2="${x2}" y2="${y2}" stroke="#ddd"/>`;
}

function createText(
  text: string,
  { x, y, anchor, colour = "black" }: {
    readonly x: number;
    readonly y: number;
    readonly anchor: "start" | "middle" | "end";
    readonly colour?: string;
  },
): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}" ` +
    `fill="${colour}">${escapeXml(text)}</text>`;
}

function escapeXml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
