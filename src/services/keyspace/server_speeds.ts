/** Estimates how fast servers work from the work times that all daemons report. */

/** Time in which a sample loses two thirds of its weight; much longer than a cold start. */
const decayTimeMs = 30_000;
/** Weight of the service's mean in a server's estimate, in answers. */
const priorAnswerCount = 8;

interface Work {
  count: number;
  totalMs: number;
}

/** Decaying mean work times of the servers of one service. */
export class ServerSpeeds {
  readonly #work = new Map<string, Work>();
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Adds answers of a server. */
  add(incarnation: string, count: number, totalMs: number): void {
    const work = this.#work.get(incarnation);
    if (work === undefined) this.#work.set(incarnation, { count, totalMs });
    else {
      work.count += count;
      work.totalMs += totalMs;
    }
  }

  /** Lets the samples decay up to now. */
  decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    this.#updatedAtMs = nowMs;
    for (const [incarnation, work] of this.#work) {
      work.count *= factor;
      work.totalMs *= factor;
      if (work.count < 0.01) this.#work.delete(incarnation);
    }
  }

  /** Number of requests that a slot of the server finishes while an average slot finishes one. */
  speedOf(incarnation: string): number {
    let count = 0;
    let totalMs = 0;
    for (const work of this.#work.values()) {
      count += work.count;
      totalMs += work.totalMs;
    }
    const own = this.#work.get(incarnation);
    if (count < 1 || own === undefined) return 1;
    const meanMs = totalMs / count;
    const estimateMs = (own.totalMs + priorAnswerCount * meanMs) /
      (own.count + priorAnswerCount);
    return meanMs / estimateMs;
  }
}
