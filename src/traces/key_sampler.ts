/** Draws keys from a Zipf distribution, with hot keys that change over time. */
import type { RandomSource } from "../host/random_source.ts";
import type { TraceHotKeyShift } from "./trace_schema.ts";

/** Draws the keys of one service. */
export class KeySampler {
  readonly #random: RandomSource;
  readonly #keyPrefix: string;
  readonly #cumulativeFractions: readonly number[];
  #hotKeys: TraceHotKeyShift["hotKeys"] = [];

  constructor(
    random: RandomSource,
    options: {
      readonly keyPrefix: string;
      readonly keyCount: number;
      readonly zipfExponent: number;
    },
  ) {
    this.#random = random;
    this.#keyPrefix = options.keyPrefix;
    this.#cumulativeFractions = computeCumulativeFractions(options);
  }

  /** Replaces the hot keys; the draws beyond their fractions follow the Zipf distribution. */
  setHotKeys(hotKeys: TraceHotKeyShift["hotKeys"]): void {
    this.#hotKeys = hotKeys;
  }

  /** Draws one key. */
  nextKey(): string {
    let fraction = this.#random.nextFraction();
    for (const { key, share } of this.#hotKeys) {
      if (fraction < share) return key;
      fraction -= share;
    }
    return this.#keyOf(this.#findRank(this.#random.nextFraction()));
  }

  /** Draws a key from the half of the keys that is requested least. */
  nextColdKey(): string {
    const keyCount = this.#cumulativeFractions.length;
    const firstRank = Math.floor(keyCount / 2);
    return this.#keyOf(firstRank + this.#random.nextInt(keyCount - firstRank));
  }

  #keyOf(rank: number): string {
    return `${this.#keyPrefix}-${rank}`;
  }

  /** Finds the first rank whose cumulative fraction exceeds the given fraction. */
  #findRank(fraction: number): number {
    let low = 0;
    let high = this.#cumulativeFractions.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#cumulativeFractions[middle]! > fraction) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function computeCumulativeFractions(
  { keyCount, zipfExponent }: {
    readonly keyCount: number;
    readonly zipfExponent: number;
  },
): readonly number[] {
  const weights = Array.from(
    { length: keyCount },
    (_, rank) => 1 / (rank + 1) ** zipfExponent,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let cumulative = 0;
  return weights.map((weight) => cumulative += weight / total);
}
