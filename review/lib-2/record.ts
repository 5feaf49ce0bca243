/** The record of one run: what was sent, answered and run, and the verdict. */
import { appendFileSync, writeFileSync } from "node:fs";

/** Appends lines with the time since the start to a file. */
export class Record {
  readonly #path: string;
  readonly #startedAtMs = performance.now();

  constructor(path: string) {
    this.#path = path;
    writeFileSync(path, "");
  }

  /** Writes one line. */
  note(text: string): void {
    const elapsedS = (performance.now() - this.#startedAtMs) / 1_000;
    appendFileSync(this.#path, `${elapsedS.toFixed(3).padStart(8)} ${text}\n`);
  }
}
