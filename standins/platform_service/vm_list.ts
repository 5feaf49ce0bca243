/** The list of VMs as the platform shows it: some time after it changed. */
import { setTimeout as delay } from "node:timers/promises";
import type { VmRecord } from "../../src/types/types.ts";

/** Shows each list after the lag, in the order of the changes. */
export class LaggingVmList {
  readonly #lagMs: number;
  #visible: readonly VmRecord[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** The list that the platform shows now. */
  get visible(): readonly VmRecord[] {
    return this.#visible;
  }

  /** Shows a list after the lag. */
  async publish(vms: readonly VmRecord[]): Promise<void> {
    await delay(this.#lagMs);
    this.#visible = vms;
  }
}
