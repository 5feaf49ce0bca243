/** What every bench has in common: figures with bounds and a verdict. */
import { formatNumber } from "../src/plots/text_table.ts";

/** On which side of its bound a figure must lie. */
export enum BoundKind {
  AtMost = "at most",
  AtLeast = "at least",
}

/** The bound of a figure, from a stated target. */
export interface Bound {
  readonly kind: BoundKind;
  readonly value: number;
}

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Undefined when the figure is only reported. */
  readonly bound: Bound | undefined;
}

/** A measurement that `run_benches.ts` can run. */
export abstract class Bench {
  abstract readonly name: string;
  /** One line: what is measured and by what means. */
  abstract readonly summary: string;
  /** Whether the verdict is the same on every run; only those run in CI. */
  abstract readonly isRepeatable: boolean;

  /** Measures. `print` shows tables and progress. */
  abstract run(print: (line: string) => void): Promise<readonly Figure[]>;
}

/** Whether a figure keeps its bound; true when it has none. */
export function isWithinBound({ value, bound }: Figure): boolean {
  if (bound === undefined) return true;
  return bound.kind === BoundKind.AtMost
    ? value <= bound.value
    : value >= bound.value;
}

/** One line with the figure, its bound and the verdict. */
export function formatFigure(figure: Figure): string {
  const { name, value, unit, bound } = figure;
  const shown = `${name}: ${formatNumber(value)} ${unit}`.trimEnd();
  if (bound === undefined) return shown;
  const verdict = isWithinBound(figure) ? "pass" : "FAIL";
  return `${shown} (${bound.kind} ${formatNumber(bound.value)}): ${verdict}`;
}
