import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { request } from "undici";
import { findFreePort } from "../../../scripts/free_port.ts";
import { SeededRandomSource } from "../../host/random_source.ts";
import { SystemClock } from "../../host/system_clock.ts";
import { Kernel } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { describe, it } from "../../testing/describe.ts";
import { RecordingLog } from "../../testing/recording_log.ts";
import { LearnedCapacities } from "../capacity/learned_capacities.ts";
import { Directory } from "../directory/directory.ts";
import { TableFeed, type TableUpdates } from "../feeds/table_feed.ts";
import type { GranterRecord } from "../keyspace/fleet_rows.ts";
import { StatsdMetrics } from "../metrics/statsd_metrics.ts";
import { KeyGranter } from "../keyspace/key_granter.ts";
import {
  type KeyOwnership,
  KeySpace,
  OwnershipState,
} from "../keyspace/key_space.ts";
import { LoadCounts } from "../keyspace/load_counts.ts";
import { FakeRows, FakeRowStore } from "../../testing/fake_row_store.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type { StoreVersion } from "../../types/store_version.ts";
import { HttpFleetLink } from "./http_fleet_link.ts";
import { decodeSyncAnswer, encodeSyncRequest } from "./sync_codec.ts";

const host = "127.0.0.1";
/** Longest time from one sync request of a daemon to the next. */
const syncPeriodMs = 700;
const syncWaitMs = 800;
/** How late a timer may fire on a busy machine. */
const slackMs = 300;

/** A feed whose copies were last confirmed at a given instant and never change. */
class AgingFeed extends TableFeed {
  override readonly changed = new ChangeSignal();
  override readonly cutOffChanged = new ChangeSignal();
  /** The versions of the updates that other daemons passed on. */
  readonly passedOnVersions: (number | undefined)[] = [];
  #isCutOff = false;
  readonly #confirmedAtMs: number;

  constructor(confirmedAtMs: number) {
    super();
    this.#confirmedAtMs = confirmedAtMs;
  }

  override isCutOff(): boolean {
    return this.#isCutOff;
  }

  setCutOff(isCutOff: boolean): void {
    this.#isCutOff = isCutOff;
    this.cutOffChanged.notify();
  }

  override follow(): Promise<void> {
    return Promise.resolve();
  }

  override versions(): ReadonlyMap<string, StoreVersion | undefined> {
    return new Map();
  }

  override remainingFreshMs(maxAgeMs: number): number {
    return this.#confirmedAtMs + maxAgeMs - performance.now();
  }

  override updatesAfter(): TableUpdates {
    return new Map([["servers", {
      version: { era: 0, number: 1 },
      isSnapshot: false,
      changes: [],
    }]]);
  }

  override applyRelayed(): void {}

  override applyFromPeer(updates: TableUpdates): void {
    this.passedOnVersions.push(updates.get("servers")?.version.number);
  }

  override setUsesRelay(): void {}
  override setRelayProbesStore(): void {}
  override setReaderCount(): void {}
  override setActsAsRelay(): void {}
}

class FixedGranter extends KeyGranter {
  readonly #isActive: boolean;

  constructor(isActive: boolean) {
    super();
    this.#isActive = isActive;
  }

  override isActive(): boolean {
    return this.#isActive;
  }

  override addLoad(): boolean {
    return this.#isActive;
  }

  override suspectLeaseHolder(): void {}

  override resign(): Promise<void> {
    return Promise.resolve();
  }
}

class EmptyKeySpace extends KeySpace {
  override readonly changed = new ChangeSignal();
  granterAddress: string | undefined;
  peers: string[] = [];

  override isLoaded(): boolean {
    return true;
  }

  override ownerOf(): KeyOwnership {
    return {
      state: OwnershipState.Unowned,
      server: undefined,
      formerServers: [],
      movingMs: 0,
    };
  }

  override versionOf(): number {
    return 0;
  }

  override tryGetRow(): undefined {
    return undefined;
  }

  override daemonCount(): number {
    return 1;
  }

  override daemonIds(): readonly string[] {
    return [];
  }

  override peerAddresses(): readonly string[] {
    return this.peers;
  }

  override hasStrongerDaemon(): boolean {
    return false;
  }

  override comparableDaemonCount(): number {
    return 1;
  }

  override granter(): GranterRecord | undefined {
    const address = this.granterAddress;
    return address === undefined ? undefined : { term: 1, address };
  }
}

class KnownDirectory extends Directory {
  override readonly changed = new ChangeSignal();
  isMarkedComplete = false;
  expectsReregistrations = false;
  readonly leaving = new Set<string>();
  readonly servers: ServerEntry[] = [];
  readonly #isComplete: boolean;

  constructor(isComplete: boolean) {
    super();
    this.#isComplete = isComplete;
  }

  override isLoaded(): boolean {
    return true;
  }

  override isComplete(): boolean {
    return this.#isComplete;
  }

  override expectReregistrations(): void {
    this.expectsReregistrations = true;
  }

  override markComplete(): void {
    this.isMarkedComplete = true;
  }

  override usableServers(): [] {
    return [];
  }

  override evacuatedServers(): readonly never[] {
    return [];
  }

  override tryGet(id: string): ServerEntry | undefined {
    return this.servers.find((server) => server.id === id);
  }

  override noteLeaving(incarnation: string): void {
    this.leaving.add(incarnation);
  }

  override leavingIncarnations(): readonly string[] {
    return [...this.leaving];
  }
}

/** Starts a daemon with a fleet link; `isGranter` decides whether the daemon is the key granter. */
async function startDaemon(options: {
  readonly isGranter: boolean;
  readonly copyAgeMs: number;
  readonly isComplete: boolean;
}) {
  const port = await findFreePort();
  const keySpace = new EmptyKeySpace();
  const directory = new KnownDirectory(options.isComplete);
  const feed = new AgingFeed(performance.now() - options.copyAgeMs);
  const clock = new SystemClock();
  const kernel = new Kernel()
    .register(clock)
    .register(
      new FakeRowStore(new FakeRows(clock), { daemonId: "daemon-1", clock }),
    )
    .register(new SeededRandomSource(1))
    .register(new RecordingLog())
    .register(new StatsdMetrics({ address: undefined, daemonId: "daemon-1" }))
    .register(feed)
    .register(directory)
    .register(keySpace)
    .register(new FixedGranter(options.isGranter))
    .register(new LoadCounts())
    .register(new LearnedCapacities())
    .register(new HttpFleetLink({ host, port }));
  await kernel.start();
  return { kernel, keySpace, directory, feed, port };
}

/** Sends a sync request to a granter whose copies have the given age. */
async function sendSync(
  copyAgeMs: number,
  { isComplete = true } = {},
): Promise<{ status: number; bytes: Uint8Array; tookMs: number }> {
  const { kernel, port } = await startDaemon({
    isGranter: true,
    copyAgeMs,
    isComplete,
  });
  try {
    const startedAtMs = performance.now();
    const answer = await request(`http://${host}:${port}/sync`, {
      method: "POST",
      body: encodeSyncRequest({
        versions: new Map([["servers", { era: 0, number: 1 }]]),
        load: kernel.get(ServiceName.LoadReports).takeReport(),
        capacityReport: {},
        capacityVersion: 0,
        leavingIncarnations: [],
        waitMs: syncWaitMs,
      }),
    });
    const bytes = await answer.body.bytes();
    const tookMs = performance.now() - startedAtMs;
    return { status: answer.statusCode, bytes, tookMs };
  } finally {
    await kernel.stop();
  }
}

describe("HttpFleetLink", () => {
  describe("as the key granter, without changes to send", () => {
    it("answers when the wait of the request ends", async () => {
      const { status, bytes, tookMs } = await sendSync(0);
      assert.is(status, 200);
      const answer = decodeSyncAnswer(bytes, 0);
      assert.is(answer.updates.get("servers")?.version.number, 1);
      assert.is(answer.isDirectoryComplete, true);
      assert.ok(tookMs >= syncWaitMs - 1, `${tookMs} ms`);
    });

    it("reports that its directory may lack servers that still run", async () => {
      const { bytes } = await sendSync(0, { isComplete: false });
      assert.is(decodeSyncAnswer(bytes, 0).isDirectoryComplete, false);
    });

    it("answers 503 as soon as its copies are too old", async () => {
      const { status, tookMs } = await sendSync(1_300);
      assert.is(status, 503);
      assert.ok(tookMs < 100 + slackMs, `${tookMs} ms`);
    });
  });

  describe("when a server announced to a daemon that it leaves", () => {
    it("tells the granter, which tells the other daemons", async () => {
      const options = { copyAgeMs: 0, isComplete: true };
      const granter = await startDaemon({ ...options, isGranter: true });
      const daemons = [
        await startDaemon({ ...options, isGranter: false }),
        await startDaemon({ ...options, isGranter: false }),
      ];
      try {
        daemons[0]!.directory.noteLeaving("server-1@5");
        for (const { keySpace } of daemons) {
          keySpace.granterAddress = `${host}:${granter.port}`;
          keySpace.changed.notify();
        }
        await delay(2 * syncPeriodMs + slackMs);
        assert.equal([...granter.directory.leaving], ["server-1@5"]);
        assert.equal([...daemons[1]!.directory.leaving], ["server-1@5"]);
      } finally {
        for (const { kernel } of [...daemons, granter]) await kernel.stop();
      }
    });
  });

  describe("when a daemon has measured servers", () => {
    it("tells the granter, which tells the other daemons", async () => {
      // The copies stay fresh for the whole test.
      const options = { copyAgeMs: -10_000, isComplete: true };
      const granter = await startDaemon({ ...options, isGranter: true });
      const daemons = [
        await startDaemon({ ...options, isGranter: false }),
        await startDaemon({ ...options, isGranter: false }),
      ];
      const servers = ["server-1", "server-2"].map((id): ServerEntry => ({
        id,
        bornAtMs: 5,
        service: "roster",
        address: "10.0.0.1:80",
        zone: "zone-a",
        slotCount: 3,
        isDraining: false,
      }));
      const [slow, fast] = servers;
      try {
        for (const { directory } of [granter, ...daemons]) {
          directory.servers.push(...servers);
        }
        for (const { keySpace } of daemons) {
          keySpace.granterAddress = `${host}:${granter.port}`;
          keySpace.changed.notify();
        }
        const measuring = daemons[0]!.kernel.get(ServiceName.Capacities);
        for (let round = 0; round < 20; round++) {
          for (let i = 0; i < 10; i++) {
            const sample = { route: "reads", loadAtSend: 0 };
            measuring.noteAnswer(slow!, { ...sample, durationMs: 90 });
            measuring.noteAnswer(fast!, { ...sample, durationMs: 30 });
          }
          await delay(200);
        }
        const told = daemons[1]!.kernel.get(ServiceName.Capacities);
        assert.ok(told.estimateOf(slow!).slownessFactor > 1.2);
        assert.ok(told.estimateOf(fast!).slownessFactor < 0.8);
      } finally {
        for (const { kernel } of [...daemons, granter]) await kernel.stop();
      }
    });
  });

  describe("of a daemon that is cut off from store and granter", () => {
    /** Longest time until a connected daemon among two others has been asked twice. */
    const exchangeMs = 1_500;

    /** Runs a cut-off daemon whose peers are one that is cut off as well and one that is not. */
    async function withPeers(
      { isComplete }: { readonly isComplete: boolean },
      run: (
        daemons: Record<
          "lost" | "cutOff" | "connected",
          Awaited<ReturnType<typeof startDaemon>>
        >,
      ) => Promise<void>,
    ): Promise<void> {
      const options = { isGranter: false, copyAgeMs: 0, isComplete };
      const lost = await startDaemon(options);
      const cutOff = await startDaemon(options);
      const connected = await startDaemon(options);
      cutOff.feed.setCutOff(true);
      lost.keySpace.peers = [
        `${host}:${await findFreePort()}`,
        `${host}:${cutOff.port}`,
        `${host}:${connected.port}`,
      ];
      lost.feed.setCutOff(true);
      try {
        await run({ lost, cutOff, connected });
      } finally {
        for (const { kernel } of [lost, cutOff, connected]) await kernel.stop();
      }
    }

    it("copies the tables of the daemon that is connected", async () => {
      await withPeers({ isComplete: true }, async ({ lost, connected }) => {
        connected.directory.noteLeaving("server-1@5");
        await delay(exchangeMs);
        assert.ok(lost.feed.passedOnVersions.length >= 2);
        assert.ok(lost.feed.passedOnVersions.every((v) => v === 1));
        assert.is(lost.directory.isMarkedComplete, true);
        assert.equal([...lost.directory.leaving], ["server-1@5"]);
      });
    });

    it("keeps missing servers while that daemon's directory is incomplete", async () => {
      await withPeers({ isComplete: false }, async ({ lost }) => {
        await delay(exchangeMs);
        assert.is(lost.directory.expectsReregistrations, true);
        assert.is(lost.directory.isMarkedComplete, false);
      });
    });

    it("asks nobody once it is connected again", async () => {
      await withPeers({ isComplete: true }, async ({ lost }) => {
        await delay(exchangeMs);
        lost.feed.setCutOff(false);
        await delay(syncPeriodMs + slackMs);
        const countBefore = lost.feed.passedOnVersions.length;
        await delay(exchangeMs);
        assert.is(lost.feed.passedOnVersions.length, countBefore);
      });
    });
  });

  describe("when another daemon becomes the granter", () => {
    it("syncs with the new granter at once although the previous one does not answer", async () => {
      const silentPort = await findFreePort();
      const silent = createServer().listen(silentPort, host);
      await once(silent, "listening");
      const granter = await startDaemon({
        isGranter: true,
        copyAgeMs: 0,
        isComplete: true,
      });
      const daemon = await startDaemon({
        isGranter: false,
        copyAgeMs: 0,
        isComplete: false,
      });
      try {
        daemon.keySpace.granterAddress = `${host}:${silentPort}`;
        daemon.keySpace.changed.notify();
        await delay(slackMs);
        daemon.keySpace.granterAddress = `${host}:${granter.port}`;
        daemon.keySpace.changed.notify();
        await delay(slackMs);
        assert.is(daemon.directory.isMarkedComplete, true);
      } finally {
        silent.close();
        await daemon.kernel.stop();
        await granter.kernel.stop();
      }
    });
  });
});
