/** The contract of the random source, with an unpredictable and a reproducible implementation. */
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";

/** A source of random numbers and identifiers. */
export abstract class RandomSource extends Service {
  override readonly name = ServiceName.Random;

  /** Returns a number in [0, 1). */
  abstract nextFraction(): number;

  /** Returns an identifier that no other call in any process returns. */
  abstract nextId(): string;

  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number {
    return Math.floor(this.nextFraction() * bound);
  }
}

/** Unpredictable numbers and identifiers. */
export class SystemRandomSource extends RandomSource {
  override nextFraction(): number {
    return Math.random();
  }

  override nextId(): string {
    return randomBytes(12).toString("hex");
  }
}

/** A reproducible sequence of numbers from a seed. */
export class SeededRandomSource extends RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override nextFraction(): number {
    return (this.#generator.next() >>> 0) / 2 ** 32;
  }

  override nextId(): string {
    const high = (this.#generator.next() >>> 0).toString(16).padStart(8, "0");
    const low = (this.#generator.next() >>> 0).toString(16).padStart(8, "0");
    return `${high}${low}`;
  }
}
