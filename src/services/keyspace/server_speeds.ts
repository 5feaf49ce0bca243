/** Estimates how fast servers work from the work times that all daemons report. */

/** Time in which a sample loses two thirds of its weight; much longer than a cold start. */
const decayTimeMs = 30_000;
/** Weight of the service's mean in a server's estimate, in answers. */
const priorAnswerCount = 8;

/** Number of answers of a server, and the sum of their work times; both decay. */
interface WorkTimes {
  count: number;
  totalMs: number;
}

/** Decaying mean work times of the servers of one service. */
export class ServerSpeeds {
  readonly #workTimes = new Map<string, WorkTimes>();
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Adds the number of answers of a server and the sum of their work times. */
  add(incarnation: string, count: number, totalMs: number): void {
    const workTimes = this.#workTimes.get(incarnation);
    if (workTimes === undefined) {
      this.#workTimes.set(incarnation, { count, totalMs });
    } else {
      workTimes.count += count;
      workTimes.totalMs += totalMs;
    }
  }

  /** Lets the samples decay up to now. */
  decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    this.#updatedAtMs = nowMs;
    for (const [incarnation, workTimes] of this.#workTimes) {
      workTimes.count *= factor;
      workTimes.totalMs *= factor;
      if (workTimes.count < 0.01) this.#workTimes.delete(incarnation);
    }
  }

  /** Number of requests that a slot of the server finishes while an average slot finishes one. */
  speedOf(incarnation: string): number {
    let count = 0;
    let totalMs = 0;
    for (const workTimes of this.#workTimes.values()) {
      count += workTimes.count;
      totalMs += workTimes.totalMs;
    }
    const own = this.#workTimes.get(incarnation);
    if (count < 1 || own === undefined) return 1;
    const meanMs = totalMs / count;
    const estimateMs = (own.totalMs + priorAnswerCount * meanMs) /
      (own.count + priorAnswerCount);
    return meanMs / estimateMs;
  }
}
