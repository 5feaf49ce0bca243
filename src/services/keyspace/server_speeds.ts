/** Estimates how fast servers work from the service times that all daemons report. */

/** Time in which a sample loses two thirds of its weight; much longer than a cold start. */
const decayTimeMs = 30_000;
/** Weight of the service's mean in a server's estimate, in answers. */
const priorAnswerCount = 8;

/** Number of answers of a server, and the sum of their service times; both decay. */
interface ServiceTimes {
  count: number;
  totalMs: number;
}

/** Decaying mean service times of the servers of one service. */
export class ServerSpeeds {
  readonly #serviceTimes = new Map<string, ServiceTimes>();
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Adds the number of answers of a server and the sum of their service times. */
  add(incarnation: string, count: number, totalMs: number): void {
    const serviceTimes = this.#serviceTimes.get(incarnation);
    if (serviceTimes === undefined) {
      this.#serviceTimes.set(incarnation, { count, totalMs });
    } else {
      serviceTimes.count += count;
      serviceTimes.totalMs += totalMs;
    }
  }

  /** Lets the samples decay up to now. */
  decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / decayTimeMs);
    this.#updatedAtMs = nowMs;
    for (const [incarnation, serviceTimes] of this.#serviceTimes) {
      serviceTimes.count *= factor;
      serviceTimes.totalMs *= factor;
      if (serviceTimes.count < 0.01) this.#serviceTimes.delete(incarnation);
    }
  }

  /** Number of requests that a slot of the server finishes while an average slot finishes one. */
  speedOf(incarnation: string): number {
    let count = 0;
    let totalMs = 0;
    for (const serviceTimes of this.#serviceTimes.values()) {
      count += serviceTimes.count;
      totalMs += serviceTimes.totalMs;
    }
    const own = this.#serviceTimes.get(incarnation);
    if (count < 1 || own === undefined) return 1;
    const meanMs = totalMs / count;
    const estimateMs = (own.totalMs + priorAnswerCount * meanMs) /
      (own.count + priorAnswerCount);
    return meanMs / estimateMs;
  }
}
