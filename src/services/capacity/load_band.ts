/**
 * Bands of a server's load, in which answers are counted: answers at high and
 * at low load of the same server are compared.
 */

/** Load of a server when a request was sent, with that request, relative to its slots. */
export enum LoadBand {
  Quarter = 0,
  Half = 1,
  ThreeQuarters = 2,
  /** Up to the last slot. */
  Full = 3,
  /** The request waited for a slot. */
  Queued = 4,
}

/** The bands in which a request finds a free slot, in ascending order. */
export const runningBands: readonly LoadBand[] = [
  LoadBand.Quarter,
  LoadBand.Half,
  LoadBand.ThreeQuarters,
  LoadBand.Full,
];
export const bandCount = runningBands.length + 1;

/** The band of a request that found `loadAtSend` requests at the server. */
export function bandOf(loadAtSend: number, slotCount: number): LoadBand {
  const fraction = (Math.round(loadAtSend) + 1) / slotCount;
  const index = Math.ceil(fraction * runningBands.length) - 1;
  return runningBands[Math.max(0, index)] ?? LoadBand.Queued;
}

/** The largest number of running requests that a band includes. */
export function runningCountOf(band: LoadBand, slotCount: number): number {
  const fraction = (band + 1) / runningBands.length;
  return Math.max(1, Math.floor(Math.min(1, fraction) * slotCount));
}

/** Time until the end of one more request, in service times, when `concurrency` requests run at once. */
export function queueRounds(load: number, concurrency: number): number {
  return Math.max(1, (load + 1) / concurrency);
}
