/**
 * Measures the time until every key is served again after each kind of loss,
 * with real processes. Requests for each key are repeated with short deadlines;
 * a key counts as served again at its first answer after the loss.
 */
import { request } from "undici";
import type { Clock } from "../src/host/clock.ts";
import { SystemClock } from "../src/host/system_clock.ts";
import {
  decodeLeaseRow,
  leaseRowKey,
} from "../src/services/ownership/coordinator_row.ts";
import type { TableRow } from "../src/host/platform_table.ts";
import { formatTable } from "../src/plots/text_table.ts";
import { type DaemonProcess, DemoFleet } from "../scripts/demo_fleet.ts";
import { Bench, BoundKind, type Figure } from "./bench.ts";

/** The kinds of loss that are measured. */
enum LossKind {
  BackendServer = "backend server killed",
  HomeDaemon = "home daemon killed",
  Coordinator = "coordinator killed",
  FrozenDaemon = "daemon frozen and thawed",
}

const service = "flood-map";
const customer = "puddlewatch-residents";
const daemonCount = 4;
const serverCount = 4;
const keyCount = 32;
const targetRecoveryMs = 3_000;
const keyTimeoutMs = 15_000;
const deadlineMs = 300;
const settleMs = 4_000;
const retryIntervalMs = 20;
const thawAfterMs = 8_000;
const statusOk = 200;
const region = "region";

/** The time until the last key was served again after a loss. */
interface Recovery {
  readonly kind: LossKind;
  readonly slowestMs: number;
}

/** Measures recovery after each kind of loss. */
export class RecoveryBench extends Bench {
  override readonly name = "recovery";
  override readonly summary =
    "time until every key is served again after each kind of loss, with real " +
    "processes";
  override readonly isRepeatable = false;
  readonly #clock: Clock = new SystemClock();

  override async run(
    print: (line: string) => void,
  ): Promise<readonly Figure[]> {
    const recoveries: Recovery[] = [];
    for (const kind of Object.values(LossKind)) {
      const slowestMs = await this.#measure(kind);
      recoveries.push({ kind, slowestMs });
    }
    formatTable([
      ["loss", "slowest key, ms"],
      ...recoveries.map((r) => [r.kind, r.slowestMs.toFixed(0)]),
    ]).forEach(print);
    return recoveries.map(({ kind, slowestMs }) => ({
      name: `keys served again, ${kind}`,
      value: slowestMs,
      unit: "ms",
      bound: { kind: BoundKind.AtMost, value: targetRecoveryMs },
    }));
  }

  /** Starts a fleet, causes the loss and waits until every key is served. */
  async #measure(kind: LossKind): Promise<number> {
    const fleet = new DemoFleet({
      daemonCount,
      serverCountByService: { [service]: serverCount },
    });
    try {
      await fleet.start();
      await this.#clock.sleep(settleMs);
      await this.#waitForKeys(fleet.daemons);
      const survivors = await causeLoss(fleet, kind);
      const slowestMs = await this.#waitForKeys(survivors);
      if (kind === LossKind.FrozenDaemon) await this.#thaw(fleet, survivors);
      return slowestMs;
    } finally {
      await fleet.stop();
    }
  }

  /** Thaws the frozen daemon and waits until every key is served through all daemons. */
  async #thaw(
    fleet: DemoFleet,
    survivors: readonly DaemonProcess[],
  ): Promise<void> {
    await this.#clock.sleep(thawAfterMs);
    const frozen = fleet.daemons.find((d) => !survivors.includes(d))!;
    frozen.started.child.kill("SIGCONT");
    await this.#waitForKeys(fleet.daemons);
  }

  async #waitForKeys(daemons: readonly DaemonProcess[]): Promise<number> {
    const startedAtMs = this.#clock.nowMs();
    const durations = await Promise.all(
      Array.from(
        { length: keyCount },
        (_, index) => this.#waitForKey(daemons, { index, startedAtMs }),
      ),
    );
    return Math.max(...durations);
  }

  async #waitForKey(
    daemons: readonly DaemonProcess[],
    { index, startedAtMs }: {
      readonly index: number;
      readonly startedAtMs: number;
    },
  ): Promise<number> {
    for (let turn = index;; turn++) {
      const daemon = daemons[turn % daemons.length]!;
      const isServed = await isKeyServed(daemon, `key-${index}`);
      const elapsedMs = this.#clock.nowMs() - startedAtMs;
      if (isServed || elapsedMs > keyTimeoutMs) return elapsedMs;
      await this.#clock.sleep(retryIntervalMs);
    }
  }
}

/** Causes a loss; returns the daemons that callers can still use. */
async function causeLoss(
  fleet: DemoFleet,
  kind: LossKind,
): Promise<readonly DaemonProcess[]> {
  const coordinator = await findCoordinator(fleet);
  const home = fleet.daemons.find((daemon) => daemon !== coordinator)!;
  const without = (lost: DaemonProcess) =>
    fleet.daemons.filter((daemon) => daemon !== lost);
  switch (kind) {
    case LossKind.BackendServer:
      await fleet.group.end(fleet.servers[0]!.started, "SIGKILL");
      return fleet.daemons;
    case LossKind.HomeDaemon:
      await fleet.group.end(home.started, "SIGKILL");
      return without(home);
    case LossKind.Coordinator:
      await fleet.group.end(coordinator.started, "SIGKILL");
      return without(coordinator);
    case LossKind.FrozenDaemon:
      home.started.child.kill("SIGSTOP");
      return without(home);
  }
}

/** The daemon that holds the lease according to its row in the table. */
async function findCoordinator(fleet: DemoFleet): Promise<DaemonProcess> {
  const key = encodeURIComponent(leaseRowKey(region));
  const address = fleet.platformAddress();
  const answer = await request(`http://${address}/table/row?key=${key}`);
  const row = await answer.body.json() as TableRow;
  const { holderId } = decodeLeaseRow(row.value);
  return fleet.daemons.find(({ daemonId }) => daemonId === holderId)!;
}

async function isKeyServed(
  daemon: DaemonProcess,
  key: string,
): Promise<boolean> {
  try {
    const answer = await request(
      `http://${daemon.entryAddress}/${service}/${key}/item`,
      {
        headers: {
          "skylark-customer": customer,
          "skylark-deadline-ms": String(deadlineMs),
        },
        signal: AbortSignal.timeout(2 * deadlineMs),
      },
    );
    await answer.body.dump();
    return answer.statusCode === statusOk;
  } catch {
    return false;
  }
}
