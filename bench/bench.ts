/** The base class of benches, and the figures, bounds and verdicts that they report. */
import { formatNumber } from "../src/plots/text_table.ts";

/** On which side of its bound a figure must lie. */
export enum BoundKind {
  AtMost = "at most",
  AtLeast = "at least",
}

/** The bound of a figure, taken from a performance target. */
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
  /** One line that states what is measured and how. */
  abstract readonly summary: string;
  /** Whether the verdict is the same on every run; CI runs only such benches. */
  abstract readonly isRepeatable: boolean;

  /** Runs the measurement. `print` receives lines of tables and progress. */
  abstract run(print: (line: string) => void): Promise<readonly Figure[]>;
}

/** Whether a figure is within its bound; true when it has no bound. */
export function isWithinBound({ value, bound }: Figure): boolean {
  if (bound === undefined) return true;
  return bound.kind === BoundKind.AtMost
    ? value <= bound.value
    : value >= bound.value;
}

/** Formats a line with the figure, its bound and the verdict. */
export function formatFigure(figure: Figure): string {
  const { name, value, unit, bound } = figure;
  const shown = `${name}: ${formatNumber(value)} ${unit}`.trimEnd();
  if (bound === undefined) return shown;
  const verdict = isWithinBound(figure) ? "pass" : "FAIL";
  return `${shown} (${bound.kind} ${formatNumber(bound.value)}): ${verdict}`;
}
