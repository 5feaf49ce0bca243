/**
 * Plays load on servers of one service that differ, through the very choice
 * that daemons make, and checks what the daemons learn and what callers get.
 */
import * as assert from "uvu/assert";
import { SeededRandomSource } from "../../host/random_source.ts";
import { Kernel } from "../../kernel/kernel.ts";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { describe, it } from "../../testing/describe.ts";
import { RecordingLog } from "../../testing/recording_log.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import {
  incarnationOf,
  RequestKind,
  type Route,
  type ServerEntry,
} from "../../types/routing.ts";
import { Directory } from "../directory/directory.ts";
import { tryChooseServer } from "../dispatch/choose_server.ts";
import { ServerStatistics } from "../dispatch/server_statistics.ts";
import { CounterName } from "../metrics/metrics.ts";
import { StatsdMetrics } from "../metrics/statsd_metrics.ts";
import { LearnedCapacities } from "./learned_capacities.ts";

class ListedDirectory extends Directory {
  override readonly changed = new ChangeSignal();
  readonly #servers: readonly ModelServer[];
  constructor(servers: readonly ModelServer[]) {
    super();
    this.#servers = servers;
  }
  override isLoaded(): boolean {
    return true;
  }
  override isComplete(): boolean {
    return true;
  }
  override expectReregistrations(): void {}

  override markComplete(): void {}
  override usableServers(): readonly ServerEntry[] {
    return this.#servers.map(({ entry }) => entry);
  }
  override evacuatedServers(): readonly never[] {
    return [];
  }

  override tryGet(id: string): ServerEntry | undefined {
    return this.#servers.find(({ entry }) => entry.id === id)?.entry;
  }
  override noteLeaving(): void {}
  override leavingIncarnations(): readonly string[] {
    return [];
  }
}

const slotCount = 4;
const syncIntervalMs = 600;
/** Long enough to learn from, short against a test. */
const warmUpMs = 15_000;
const reads = { name: "reads", workMs: 60 };
const reports = { name: "reports", workMs: 180 };

/** A server that queues without bound; `slowdown` gives its times relative to the work. */
class ModelServer {
  readonly entry: ServerEntry;
  runningCount = 0;
  slowdown: (load: number) => number;
  readonly #waiting: (() => void)[] = [];
  readonly #model: QueueModel;

  constructor(model: QueueModel, id: string, slowdown = (_load: number) => 1) {
    this.#model = model;
    this.slowdown = slowdown;
    const place = { address: `${id}:80`, zone: "zone-a" };
    const service = "stock";
    this.entry = {
      id,
      bornAtMs: 1,
      service,
      ...place,
      slotCount,
      isDraining: false,
    };
  }

  get load() {
    const waitingCount = this.#waiting.length;
    return { runningCount: this.runningCount, waitingCount, slotCount };
  }

  run(workMs: number, onEnd: () => void): void {
    if (this.runningCount >= slotCount) {
      this.#waiting.push(() => this.run(workMs, onEnd));
      return;
    }
    this.runningCount += 1;
    const durationMs = workMs * this.slowdown(this.runningCount);
    this.#model.clock.after(durationMs, () => {
      this.runningCount -= 1;
      this.#waiting.shift()?.();
      onEnd();
    });
  }
}

/** A daemon that chooses servers by what it and the fleet have learned. */
interface ModelDaemon {
  readonly capacities: LearnedCapacities;
  readonly kernel: Kernel;
  readonly log: RecordingLog;
  readonly statistics: Map<string, ServerStatistics>;
  version: number;
  isLost: boolean;
}

/** Seeded arrivals at daemons that share servers. */
class QueueModel {
  readonly clock = new VirtualClock();
  readonly random = new SeededRandomSource(7);
  readonly servers: ModelServer[] = [];
  readonly daemons: ModelDaemon[] = [];
  /** Whether the daemons report what they measure. */
  learns = true;
  term = 1;
  readonly inAimCounts = { asked: 0, inAim: 0 };

  add(id: string, slowdown?: (load: number) => number): ModelServer {
    const server = new ModelServer(this, id, slowdown);
    this.servers.push(server);
    return server;
  }

  async addDaemon(): Promise<ModelDaemon> {
    const [capacities, log] = [new LearnedCapacities(), new RecordingLog()];
    const kernel = new Kernel()
      .register(this.clock)
      .register(log)
      .register(new StatsdMetrics({ address: undefined, daemonId: "d" }))
      .register(new ListedDirectory(this.servers))
      .register(capacities);
    await kernel.start();
    const daemon = {
      capacities,
      kernel,
      log,
      statistics: new Map(),
      version: 0,
      isLost: false,
    };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Loses the key granter; a daemon that joins is the next one. */
  async replaceGranter(lost: ModelDaemon): Promise<void> {
    lost.isLost = true;
    const next = await this.addDaemon();
    const others = this.daemons.filter((daemon) =>
      daemon !== lost && daemon !== next
    );
    for (const daemon of others) daemon.version = 0;
    this.daemons.splice(0, this.daemons.length, next, ...others);
    this.term += 1;
  }

  /** Lets requests of a route arrive at a daemon. */
  arrive(daemon: ModelDaemon, kind: typeof reads, perSecond: number): void {
    const waitMs = -Math.log(1 - this.random.nextFraction()) * 1_000 /
      perSecond;
    this.clock.after(waitMs, () => {
      if (daemon.isLost) return;
      this.arrive(daemon, kind, perSecond);
      this.#send(daemon, kind);
    });
  }

  #send(daemon: ModelDaemon, { name, workMs }: typeof reads): void {
    const { capacities, statistics } = daemon;
    const sentAtMs = this.clock.nowMs();
    const candidates = this.servers.map(({ entry: server }) => {
      const known = statistics.get(server.id) ?? new ServerStatistics();
      statistics.set(server.id, known);
      return { server, statistics: known };
    });
    const objectiveMs = 2.5 * workMs;
    const route = { name, kind: RequestKind.Idempotent, objectiveMs } as Route;
    const choice = tryChooseServer(candidates, {
      route,
      zone: "zone-a",
      nowMs: sentAtMs,
      objectiveLeftMs: objectiveMs,
      capacities,
      maxInFlight: 100,
      daemonCount: this.daemons.length,
      hasMoreUrgentRoute: false,
      random: this.random,
    });
    this.inAimCounts.asked += 1;
    if (choice === undefined) return;
    const loadAtSend = choice.statistics.estimateLoad(sentAtMs);
    choice.statistics.inFlightCount += 1;
    const target = this.servers.find(({ entry }) => entry === choice.server)!;
    const sampleMs = workMs * (0.5 + this.random.nextFraction());
    target.run(sampleMs, () => {
      const durationMs = this.clock.nowMs() - sentAtMs;
      choice.statistics.inFlightCount -= 1;
      choice.statistics.noteLoad(target.load, this.clock.nowMs());
      if (durationMs <= objectiveMs) this.inAimCounts.inAim += 1;
      capacities.noteAnswer(choice.server, {
        wasQueueing: target.load.waitingCount > 0,
        route: name,
        durationMs,
        loadAtSend,
      });
    });
  }

  /** Plays; the first daemon is the key granter, with which the others sync. */
  async play(durationMs: number): Promise<void> {
    for (let playedMs = 0; playedMs < durationMs; playedMs += syncIntervalMs) {
      await this.clock.advance(syncIntervalMs);
      if (!this.learns) continue;
      const [granter, ...others] = this.daemons;
      for (const daemon of others) {
        granter!.capacities.addReport(daemon.capacities.takeReport());
        const update = granter!.capacities.pooledAfter(daemon.version);
        daemon.capacities.applyPooled(update.capacities, this.term);
        daemon.version = update.version;
      }
      granter!.capacities.poolOwn(this.term);
    }
  }

  /** The share of requests that are answered within their objective from now on. */
  async measureShare(durationMs: number): Promise<number> {
    Object.assign(this.inAimCounts, { asked: 0, inAim: 0 });
    await this.play(durationMs);
    return this.inAimCounts.inAim / this.inAimCounts.asked;
  }
}

function createUnevenModel(): QueueModel {
  const model = new QueueModel();
  for (const [i, speed] of [0.6, 1, 1.4, 0.6, 1, 1.4].entries()) {
    model.add(`s-${i}`, () => 1 / speed);
  }
  return model;
}

/** Servers at three speeds and two daemons, of which one gets a tenth of the requests. */
async function createUnevenFleet(perSecond: number) {
  const model = createUnevenModel();
  const { servers } = model;
  const large = await model.addDaemon();
  const small = await model.addDaemon();
  model.arrive(large, reads, perSecond * 0.9);
  model.arrive(small, reads, perSecond * 0.1);
  return { model, servers, large, small };
}

/** The share of requests that miss their objective, with eight daemons and servers at three speeds. */
async function measureLateShare({ learns }: { readonly learns: boolean }) {
  const model = createUnevenModel();
  model.learns = learns;
  while (model.daemons.length < 8) await model.addDaemon();
  for (const daemon of model.daemons) model.arrive(daemon, reads, 42);
  await model.play(warmUpMs);
  return 1 - await model.measureShare(20_000);
}

/** Slowness of a speed relative to the mean of the three speeds. */
function slownessOf(speed: number): number {
  const mean = (1 / 0.6 + 1 + 1 / 1.4) / 3;
  return 1 / speed / mean;
}

function assertNear(value: number, expected: number, tolerance: number): void {
  const isNear = Math.abs(value / expected - 1) <= tolerance;
  assert.ok(isNear, `${value} is not near ${expected}`);
}

describe("LearnedCapacities", () => {
  describe("before anything was learned", () => {
    it("assumes the slots, and an average server", async () => {
      const model = new QueueModel();
      const { entry } = model.add("s-1");
      const { capacities } = await model.addDaemon();
      assert.equal(capacities.estimateOf(entry), {
        concurrency: slotCount,
        slownessFactor: 1,
      });
    });
  });

  describe("with servers of different speeds", () => {
    it("learns them, also at a daemon with a tenth of the requests", async () => {
      const { model, servers, large, small } = await createUnevenFleet(150);
      await model.play(warmUpMs);
      for (const { capacities } of [large, small]) {
        const factors = servers.slice(0, 3).map(({ entry }) =>
          capacities.estimateOf(entry).slownessFactor
        );
        assertNear(factors[0]!, slownessOf(0.6), 0.2);
        assertNear(factors[1]!, slownessOf(1), 0.2);
        assertNear(factors[2]!, slownessOf(1.4), 0.2);
      }
    });

    it("halves the requests that miss their objective", async () => {
      const learned = await measureLateShare({ learns: true });
      const fixed = await measureLateShare({ learns: false });
      assert.ok(learned < fixed / 2, `${learned}, ${fixed} without`);
    });
  });

  describe("with routes of different work", () => {
    it("does not call the server slow that gets the heavy route", async () => {
      const model = new QueueModel();
      const servers = [model.add("s-1"), model.add("s-2")];
      const { capacities } = await model.addDaemon();
      for (let i = 0; i < 400; i++) {
        const isHeavy = i % 2 === 0 ? i % 20 !== 0 : i % 20 === 1;
        const { name, workMs } = isHeavy ? reports : reads;
        const sample = { route: name, durationMs: workMs, loadAtSend: 0 };
        capacities.noteAnswer(servers[i % 2]!.entry, sample);
        if (i % 20 === 0) await model.play(syncIntervalMs);
      }
      for (const { entry } of servers) {
        assertNear(capacities.estimateOf(entry).slownessFactor, 1, 0.1);
      }
      const [, light] = servers;
      assertNear(capacities.serviceMs(light!.entry, reads.name), 60, 0.1);
      assertNear(capacities.serviceMs(light!.entry, reports.name), 180, 0.1);
    });
  });

  describe("when a server halves its speed", () => {
    it("notices within a few seconds, and its recovery too", async () => {
      const model = new QueueModel();
      const server = model.add("s-0");
      for (let i = 1; i < 6; i++) model.add(`s-${i}`);
      const daemon = await model.addDaemon();
      model.arrive(daemon, reads, 200);
      const { capacities, log, kernel } = daemon;
      const slowness = () => capacities.estimateOf(server.entry).slownessFactor;
      await model.play(warmUpMs);
      assertNear(slowness(), 1, 0.15);
      server.slowdown = () => 2;
      await model.play(5_000);
      assert.ok(slowness() > 1.45, `${slowness()}`);
      server.slowdown = () => 1;
      await model.play(5_000);
      assert.ok(slowness() < 1.25, `${slowness()}`);
      const lines = log.lines
        .filter(({ event }) => event === LogEvent.CapacityChanged);
      assert.ok(lines.length > 0);
      assert.ok(lines.every(({ fields }) => fields.server === "s-0"));
      const counters = kernel.get(ServiceName.Metrics).counters();
      assert.ok((counters.get(CounterName.CapacitiesChanged) ?? 0) > 0);
    });
  });

  describe("when a server slows down long before it is full", () => {
    it("learns how many requests it takes, and its speed at low load", async () => {
      const model = new QueueModel();
      const half = slotCount / 2;
      const degraded = model.add(
        "s-0",
        (load) => load <= half ? 1 : 2.2 * (load / half) ** 0.5,
      );
      const steady = model.add("s-1");
      for (let i = 2; i < 6; i++) model.add(`s-${i}`);
      const daemon = await model.addDaemon();
      model.arrive(daemon, reads, 240);
      await model.play(warmUpMs);
      const { capacities } = daemon;
      const estimate = capacities.estimateOf(degraded.entry);
      assert.ok(estimate.concurrency <= half + 0.5, `${estimate.concurrency}`);
      assert.ok(estimate.concurrency >= 1);
      assertNear(estimate.slownessFactor, 1, 0.25);
      assert.ok(
        capacities.estimateOf(steady.entry).concurrency > 0.8 * slotCount,
      );
    });
  });

  describe("when all busy servers slow down early", () => {
    it("does not take an idle one to be better", async () => {
      const model = new QueueModel();
      const idle = model.add("s-idle");
      const busy = [model.add("s-1"), model.add("s-2"), model.add("s-3")];
      const { capacities } = await model.addDaemon();
      const note = ({ entry }: ModelServer, loadAtSend: number) => {
        const durationMs = loadAtSend < 2 ? 60 : 150;
        const sample = { route: reads.name, durationMs, loadAtSend };
        capacities.noteAnswer(entry, sample);
      };
      for (let round = 0; round < 30; round++) {
        for (let load = 0; load < slotCount; load++) {
          note(idle, 0);
          for (const server of busy) note(server, load);
        }
        await model.play(syncIntervalMs);
      }
      const { concurrency } = capacities.estimateOf(busy[0]!.entry);
      assert.ok(concurrency < 2.5, `${concurrency}`);
      assertNear(
        capacities.estimateOf(idle.entry).concurrency,
        concurrency,
        0.3,
      );
    });
  });

  describe("when servers share their machines", () => {
    it("does not follow slowdowns of a fraction of a second", async () => {
      const model = new QueueModel();
      for (let i = 0; i < 6; i++) {
        const server = model.add(`s-${i}`);
        const toggle = (isSlow: boolean) => {
          server.slowdown = () => isSlow ? 3 : 1;
          const meanMs = isSlow ? 300 : 1_200;
          const durationMs = meanMs *
            -Math.log(1 - model.random.nextFraction());
          model.clock.after(durationMs, () => toggle(!isSlow));
        };
        toggle(false);
      }
      const daemon = await model.addDaemon();
      model.arrive(daemon, reads, 160);
      await model.play(warmUpMs);
      let outlierCount = 0;
      const roundCount = 100;
      for (let round = 0; round < roundCount; round++) {
        await model.play(syncIntervalMs);
        for (const { entry } of model.servers) {
          const { slownessFactor, concurrency } = daemon.capacities
            .estimateOf(entry);
          const isSteady = slownessFactor > 0.7 && slownessFactor < 1.4 &&
            concurrency >= 0.7 * slotCount;
          if (!isSteady) outlierCount += 1;
        }
      }
      const share = outlierCount / roundCount / model.servers.length;
      assert.ok(share < 0.1, `${share}`);
    });
  });

  describe("when the key granter dies", () => {
    it("keeps the estimates until the next granter has learned anew", async () => {
      const { model, servers, large, small } = await createUnevenFleet(150);
      await model.play(warmUpMs);
      const [slow] = servers;
      const before = small.capacities.estimateOf(slow!.entry);
      assert.ok(before.slownessFactor > 1.2);
      await model.replaceGranter(large);
      model.arrive(small, reads, 60);
      await model.play(2 * syncIntervalMs);
      assert.ok(small.capacities.estimateOf(slow!.entry).slownessFactor > 1.2);
      await model.play(2 * warmUpMs);
      assert.ok(small.capacities.estimateOf(slow!.entry).slownessFactor > 1.2);
    });

    it("drops an estimate that the next granter does not confirm", async () => {
      const { model, servers, large, small } = await createUnevenFleet(150);
      await model.play(warmUpMs);
      for (const server of servers) server.slowdown = () => 1;
      await model.replaceGranter(large);
      model.arrive(small, reads, 60);
      await model.play(2 * warmUpMs);
      for (const { entry } of servers) {
        assertNear(small.capacities.estimateOf(entry).slownessFactor, 1, 0.3);
      }
    });
  });

  describe("without a key granter that knows estimates", () => {
    it("uses what the daemon has learned alone", async () => {
      const model = createUnevenModel();
      const { capacities } = await model.addDaemon();
      const [slow, other] = model.servers;
      for (let round = 0; round < 20; round++) {
        for (
          const [server, durationMs] of [[slow, 120], [other, 60]] as const
        ) {
          const sample = { route: reads.name, durationMs, loadAtSend: 0 };
          for (let i = 0; i < 10; i++) {
            capacities.noteAnswer(server!.entry, sample);
          }
        }
        await model.clock.advance(syncIntervalMs);
        capacities.takeReport();
      }
      const { slownessFactor } = capacities.estimateOf(slow!.entry);
      assertNear(slownessFactor, 4 / 3, 0.15);
    });
  });

  describe("when a server runs fewer requests than it registered", () => {
    it("learns from refusals at its reported load", async () => {
      const model = new QueueModel();
      const { entry } = model.add("s-1");
      const { capacities } = await model.addDaemon();
      for (let round = 0; round < 30; round++) {
        for (let loadAtSend = 0; loadAtSend < slotCount; loadAtSend++) {
          if (loadAtSend >= 2) capacities.noteRejection(entry, loadAtSend);
          else {
            const sample = { route: reads.name, durationMs: 60, loadAtSend };
            capacities.noteAnswer(entry, sample);
          }
        }
        await model.play(syncIntervalMs);
      }
      assertNear(capacities.estimateOf(entry).concurrency, 2, 0.15);
    });
  });

  describe("the report", () => {
    it("names only servers that were used, in a few bytes each", async () => {
      const model = new QueueModel();
      const used = model.add("s-1");
      model.add("s-2");
      const { capacities } = await model.addDaemon();
      for (let i = 0; i < 50; i++) {
        const sample = { route: reads.name, durationMs: 60, loadAtSend: 0 };
        capacities.noteAnswer(used.entry, sample);
      }
      const report = capacities.takeReport();
      assert.equal(Object.keys(report), [incarnationOf(used.entry)]);
      assert.ok(JSON.stringify(Object.values(report)).length < 30);
      assert.equal(capacities.takeReport(), {});
    });
  });
});
