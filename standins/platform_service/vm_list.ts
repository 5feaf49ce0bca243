/** The list of VMs as the platform publishes it: some time after each change. */
import { setTimeout as delay } from "node:timers/promises";
import type { VmRecord } from "../../src/types/types.ts";

/** Publishes each list after the lag, in the order of the changes. */
export class LaggingVmList {
  readonly #lagMs: number;
  #visible: readonly VmRecord[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** The list that is published now. */
  get visible(): readonly VmRecord[] {
    return this.#visible;
  }

  /** Publishes a list after the lag. */
  async publish(vms: readonly VmRecord[]): Promise<void> {
    await delay(this.#lagMs);
    this.#visible = vms;
  }
}
