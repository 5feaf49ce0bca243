/**
 * All daemons are killed and start again while upstreams report that they
 * drain. The list of upstreams takes two pages. Checks that no request reaches
 * an upstream later than `drain_ms` after its report (DRAIN).
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  encodeConfiguration,
  Fleet,
  hasTrouble,
  newId,
  runCase,
  send,
} from "../lib/fleet.mjs";
import { sleep, Store } from "../lib/store.mjs";
import { Upstream } from "../lib/upstream.mjs";

/** A page of the store has 500 rows; `cau-roles-large` has 540 upstreams. */
const upstreamCount = 540;
const daemonCount = 4;
/** Share of the upstreams that drain; the site files go up to 0.25. */
const drainingShare = 0.25;
/** Each of them reports it at its next heartbeat. */
const heartbeatMs = 870;
const drainMs = 3_000;
const stableWindowMs = 4_000;
/** Time until the platform starts a killed process again, and how much it differs. */
const restartDelayMs = { min: 500, spread: 300 };
/** How long an upstream serves on after its report. */
const servesOnMs = { min: 8_000, max: 14_000 };
const requestsPerSecond = 400;
const trafficMs = 12_000;
const workMs = 460;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, onEnd }) => {
    const store = new Store();
    await store.start();
    onEnd(() => store.stop());
    const sent = new Map();
    const reportedAtMs = new Map();
    const runs = [];
    const upstreams = [];
    for (let i = 0; i < upstreamCount; i++) {
      const upstream = new Upstream({
        id: `i-${String(i).padStart(4, "0")}`,
        service: "desk",
        store,
        record,
        workMs,
      });
      upstream.onRun = (id) =>
        runs.push({ id, server: upstream.id, atMs: performance.now() });
      await upstream.start();
      onEnd(() => upstream.stop());
      upstream.register();
      upstreams.push(upstream);
    }
    store.put(
      "op",
      "config",
      encodeConfiguration(1, {
        routes: [{
          name: "filings",
          host: "app.example",
          prefix: "/file/",
          kind: "unsafe",
          timeout_ms: 12_000,
          slo_ms: 2_000,
          priority: 1,
          attempts: 2,
          service: "desk",
        }],
        services: [{
          name: "desk",
          health_path: "/healthz",
          max_conns: 110,
        }],
      }),
    );
    const fleet = new Fleet({ store, record });
    onEnd(() => fleet.stop());
    for (let i = 0; i < daemonCount; i++) await fleet.add();
    for (const daemon of fleet.daemons) await fleet.waitUntilReady(daemon);
    await sleep(4_000);

    store.onCall = (call, query) => {
      if (call !== "GET /api/rows-get") return;
      if (query.get("table") !== "servers") return;
      record.note("page read", { from: query.get("from") });
    };
    const { min, spread } = restartDelayMs;
    const restarts = fleet.daemons.map(async (daemon, i) => {
      if (!hasTrouble) return;
      daemon.child.kill("SIGKILL");
      await daemon.ended;
      await sleep(min + spread * i / (daemonCount - 1));
      fleet.start(daemon);
    });
    await sleep(min);

    async function drain(upstream) {
      const { min, max } = servesOnMs;
      await sleep(Math.random() * heartbeatMs);
      upstream.isDraining = true;
      upstream.register();
      reportedAtMs.set(upstream.id, performance.now());
      record.note("report acknowledged", { server: upstream.id });
      await sleep(min + (max - min) * Math.random());
      record.note("ends", { server: upstream.id });
      upstream.crash();
      store.remove("servers", upstream.id);
    }

    const leaving = upstreams.filter((_, i) => i % (1 / drainingShare) === 1);
    for (const upstream of leaving) void drain(upstream);
    await Promise.all(restarts);
    const restartedAtMs = performance.now();
    for (const daemon of fleet.daemons) await fleet.waitUntilReady(daemon);
    await sleep(stableWindowMs);

    async function request() {
      const id = newId();
      const daemon =
        fleet.daemons[Math.floor(Math.random() * fleet.daemons.length)];
      sent.set(id, { atMs: performance.now(), to: daemon.name });
      record.note("sent", { id, to: daemon.name });
      const { status, end } = await send(daemon.front, {
        method: "POST",
        path: "/file/a",
        headers: {
          host: "app.example",
          "x-request-id": id,
          "x-timeout-ms": "12000",
        },
        body: "order",
        timeoutMs: 13_000,
      });
      record.note("answered", { id, status, end });
    }

    const requests = [];
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < trafficMs) {
      requests.push(request());
      await sleep(1_000 / requestsPerSecond);
    }
    await Promise.all(requests);
    return runs.flatMap(({ id, server, atMs }) => {
      const lateMs = atMs - reportedAtMs.get(server) - drainMs;
      const { atMs: sentAtMs, to } = sent.get(id);
      const isInTouch = sentAtMs - restartedAtMs > stableWindowMs;
      if (!(lateMs > 0) || !isInTouch) return [];
      return [{ id, server, to, lateMs: Math.round(lateMs) }];
    });
  },
);
