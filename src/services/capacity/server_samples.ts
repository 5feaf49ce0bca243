/**
 * What was measured of one server: how long its answers took relative to the
 * work of their routes, by band of its load. Answers at high and at low load
 * are compared with each other, so that a server that slows down long before it
 * is full is told from one that is slow. Answers the load of servers that share
 * their machines: a slowdown of a fraction of a second isn't followed, one that
 * lasts is followed within seconds.
 */
import {
  bandCount,
  LoadBand,
  runningBands,
  runningCountOf,
} from "./load_band.ts";

/** Times in which a sample loses two thirds of its weight. */
const windowMs = { short: 2_000, long: 20_000 };
/**
 * Variance that is expected between the servers of a service. The more the
 * means of single seconds vary compared with it, the more of an average server
 * is mixed into the estimate.
 */
const serverVariance = 0.1;
const priorBounds = { min: 0.3, max: 4 };
/**
 * The long window restarts from the short one when they differ by this number
 * of standard deviations of the short one, within bounds of the logarithm.
 */
const changeDeviations = 3;
const changeBounds = { min: 0.25, max: 0.7 };
/** Answers in a second that tell something of their own, since a short slowdown affects all. */
const independentPerSecond = 2;
const independentMeanCount = independentPerSecond * windowMs.short / 1_000;
/** Time in which a server that gets far fewer requests than others is forgotten, so that it is tried again. */
const forgetMs = 3_000;
/** Such a server has fewer answers in the short window than this fraction of the service's mean. */
const fewAnswersFraction = 0.3;
/** Weight of the short window when the long one restarts; it still includes answers from before the change. */
const restartWeight = 0.25;
/** Samples that are as those of the service's other servers, and are mixed into each comparison of bands. */
const priorBandSampleCount = 4;
/** Answers in a band that are slower by less than this logarithm aren't degraded. */
const degradationTolerance = 0.3;
/** Number of standard deviations by which they must also be slower. */
const degradationDeviations = 2;

/** Answers of one band since the last report; can be added up over daemons. */
export interface BandCount {
  readonly band: LoadBand;
  readonly answerCount: number;
  /** Sum of the logarithms of the answers' times relative to the work of their routes. */
  readonly logSum: number;
  /** Requests that the server refused because it was full. */
  readonly rejectionCount: number;
}

/** What the servers of a service have in common. */
export interface SampleLevel {
  /** Mean logarithm of the servers. */
  readonly prior: number;
  /** Variance of the means of single seconds around the mean of their server. */
  readonly variance: number;
  /** Mean number of a server's answers of the last seconds. */
  readonly recentCount: number;
  /** Mean degradation by band. */
  readonly degradations: Float64Array;
}

/** Decaying counts of all bands. */
class SampleWindow {
  readonly answerCounts = new Float64Array(bandCount);
  readonly logSums = new Float64Array(bandCount);
  readonly rejectionCounts = new Float64Array(bandCount);

  add({ band, answerCount, logSum, rejectionCount }: BandCount): void {
    this.answerCounts[band]! += answerCount;
    this.logSums[band]! += logSum;
    this.rejectionCounts[band]! += rejectionCount;
  }

  scale(factor: number): void {
    for (let band = 0; band < bandCount; band++) {
      this.answerCounts[band]! *= factor;
      this.logSums[band]! *= factor;
      this.rejectionCounts[band]! *= factor;
    }
  }

  /** Adds a window with a weight. */
  merge(other: SampleWindow, weight: number): void {
    for (let band = 0; band < bandCount; band++) {
      this.answerCounts[band]! += other.answerCounts[band]! * weight;
      this.logSums[band]! += other.logSums[band]! * weight;
      this.rejectionCounts[band]! += other.rejectionCounts[band]! * weight;
    }
  }

  /** Number of answers in all bands. */
  countAnswers(): number {
    return this.answerCounts.reduce((sum, count) => sum + count, 0);
  }

  /** Mean logarithm of all answers without the degradation of their bands. */
  meanLog(degradations: Float64Array): number {
    let sum = 0;
    for (let band = 0; band < bandCount; band++) {
      sum += this.logSums[band]! -
        this.answerCounts[band]! * degradations[band]!;
    }
    const count = this.countAnswers();
    return count === 0 ? 0 : sum / count;
  }
}

/** Samples of one server, of one daemon or of a fleet. */
export class ServerSamples {
  /** Since the last call of `advance`. */
  readonly #newest = new SampleWindow();
  readonly #short = new SampleWindow();
  readonly #long = new SampleWindow();
  /** Logarithm by which answers of each band are slower than at low load. */
  readonly #degradations = new Float64Array(bandCount);
  /** As `#degradations`, by the server's own answers alone. */
  readonly ownDegradations = new Float64Array(bandCount);
  /** Number of answers in each band that could be compared with lower bands. */
  readonly comparableCounts = new Float64Array(bandCount);
  /** Time that the long window covers. */
  #ageMs = 0;

  add(count: BandCount): void {
    this.#newest.add(count);
    this.#short.add(count);
    this.#long.add(count);
  }

  /** How far the newest samples are from the mean of the earlier ones; undefined if there are too few of either. */
  tryMeasureDeviation(): number | undefined {
    if (this.#newest.countAnswers() < 1) return undefined;
    if (this.#long.countAnswers() < 2) return undefined;
    return this.#newest.meanLog(this.#degradations) -
      this.#long.meanLog(this.#degradations);
  }

  /** Lets the samples lose weight, and follows a change that lasts. */
  advance(
    elapsedMs: number,
    level: SampleLevel,
  ): void {
    this.#ageMs = Math.min(windowMs.long, this.#ageMs + elapsedMs);
    const sampleCount = this.#short.countAnswers();
    const hasFewAnswers = sampleCount < level.recentCount * fewAnswersFraction;
    this.#long.scale(
      Math.exp(-elapsedMs / (hasFewAnswers ? forgetMs : windowMs.long)),
    );
    this.#updateDegradations(level);
    if (sampleCount >= 1) this.#followChange(level);
    this.#short.scale(Math.exp(-elapsedMs / windowMs.short));
    this.#newest.scale(0);
  }

  /** Restarts the long window if the short one differs from it. */
  #followChange(level: SampleLevel): void {
    const sampleCount = this.#short.countAnswers();
    const difference = this.#short.meanLog(this.#degradations) -
      this.meanLog(level);
    const deviation = Math.sqrt(
      level.variance / Math.min(sampleCount, independentMeanCount),
    );
    const { min, max } = changeBounds;
    const bound = Math.max(min, Math.min(max, changeDeviations * deviation));
    if (Math.abs(difference) <= bound) return;
    this.#long.scale(0);
    this.#long.merge(this.#short, restartWeight);
    this.#long.merge(this.#newest, 1);
    this.#ageMs = windowMs.short;
  }

  /** Weight of the answers of the last seconds. */
  get recentCount(): number {
    return this.#short.countAnswers();
  }

  /** Weight of the samples, in answers. */
  get sampleCount(): number {
    return this.#long.countAnswers();
  }

  /** Mean logarithm of the time of answers relative to the work of their routes, at low load. */
  meanLog({ prior, variance }: SampleLevel): number {
    const { min, max } = priorBounds;
    const priorCount = Math.max(min, Math.min(max, variance / serverVariance));
    const sampleCount = this.#countIndependent();
    const measured = this.#long.meanLog(this.#degradations);
    return (measured * sampleCount + prior * priorCount) /
      (sampleCount + priorCount);
  }

  /** By Little's law, the largest throughput that was measured times the service time at low load. */
  concurrency(slotCount: number): number {
    let largest = 1;
    for (const band of runningBands) {
      const answerCount = this.#long.answerCounts[band]!;
      const rejectionCount = this.#long.rejectionCounts[band]!;
      const servedFraction = (answerCount + priorBandSampleCount) /
        (answerCount + rejectionCount + priorBandSampleCount);
      const slowdown = Math.exp(this.#degradations[band]!);
      largest = Math.max(
        largest,
        runningCountOf(band, slotCount) * servedFraction / slowdown,
      );
    }
    return Math.min(slotCount, largest);
  }

  /** Number of the answers that tell something of their own; answers of the same moment say the same of a shared machine. */
  #countIndependent(): number {
    return Math.min(
      this.#long.countAnswers(),
      independentPerSecond * this.#ageMs / 1_000,
    );
  }

  /** Compares each band with all lower ones; a band without samples is like that of other servers. */
  #updateDegradations({ variance, degradations }: SampleLevel): void {
    const { answerCounts, logSums } = this.#long;
    const independentFraction = this.#countIndependent() /
      Math.max(1, this.#long.countAnswers());
    let lowCount = 0;
    let lowSum = 0;
    let highest = 0;
    for (const band of runningBands) {
      const count = answerCounts[band]!;
      const comparableCount = Math.min(count, lowCount);
      let own = 0;
      if (comparableCount > 0) {
        const difference = logSums[band]! / count - lowSum / lowCount;
        const deviation = Math.sqrt(
          variance * (1 / count + 1 / lowCount) / independentFraction,
        );
        const isCertain = difference * comparableCount /
            (comparableCount + priorBandSampleCount) >
          Math.max(degradationTolerance, degradationDeviations * deviation);
        if (isCertain) own = difference;
      }
      this.ownDegradations[band] = own;
      this.comparableCounts[band] = comparableCount;
      const degradation =
        (own * comparableCount + degradations[band]! * priorBandSampleCount) /
        (comparableCount + priorBandSampleCount);
      highest = Math.max(highest, degradation);
      this.#degradations[band] = highest;
      lowCount += count;
      lowSum += logSums[band]! - count * highest;
    }
    this.#degradations[LoadBand.Queued] = highest;
  }
}
