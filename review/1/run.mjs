/**
 * Upstreams crash and start again under the id and the address that they had.
 * Checks that no upstream is given a key on which another one is still at work,
 * and that no two hold the same key for over half a second (OWNER).
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
import { checkGrant, SharedHolds } from "../lib/ownership.mjs";
import { sleep, Store } from "../lib/store.mjs";
import { Upstream } from "../lib/upstream.mjs";

const upstreamCount = 24;
const daemonCount = 2;
/** 0.125 of the upstreams; the site files go up to 0.14. */
const crashCount = 3;
/** Time from a crash until the upstream listens again. */
const downMs = 400;
const crashIntervalMs = 1_500;
/** As `turno-consulta` on the sheet of the users. */
const workMs = 160;
const requestsPerSecond = 200;
const trafficMs = 80_000;
/** No crash in the last seconds. */
const calmEndMs = 3_000;
const sampleIntervalMs = 20;
const keyCount = 65_536;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, onEnd }) => {
    const store = new Store();
    await store.start();
    onEnd(() => store.stop());
    const breaches = [];
    const upstreams = [];
    function create(id) {
      const upstream = new Upstream({
        id,
        service: "map",
        store,
        record,
        workMs,
        isSharded: true,
      });
      upstream.onGrant = (grant) =>
        checkGrant(upstream, upstreams, { grant, breaches });
      return upstream;
    }
    for (let i = 0; i < upstreamCount; i++) {
      const upstream = create(`i-${i}`);
      await upstream.start();
      upstream.register();
      upstreams.push(upstream);
    }
    onEnd(() => upstreams.forEach((upstream) => upstream.stop()));
    store.put(
      "op",
      "config",
      encodeConfiguration(1, {
        routes: [{
          name: "map-reads",
          host: "app.example",
          prefix: "/map/",
          kind: "safe",
          timeout_ms: 3_000,
          slo_ms: 500,
          priority: 1,
          attempts: 2,
          service: "map",
        }],
        services: [{
          name: "map",
          health_path: "/healthz",
          max_conns: 110,
          sharded: true,
        }],
      }),
    );
    const fleet = new Fleet({ store, record });
    onEnd(() => fleet.stop());
    for (let i = 0; i < daemonCount; i++) await fleet.add();
    for (const daemon of fleet.daemons) await fleet.waitUntilReady(daemon);
    await sleep(4_000);

    const sharedHolds = new SharedHolds();
    const sampler = setInterval(
      () => sharedHolds.sample(upstreams, breaches),
      sampleIntervalMs,
    );
    onEnd(() => clearInterval(sampler));
    const startedAtMs = performance.now();
    const isOver = (reserveMs) =>
      performance.now() - startedAtMs >= trafficMs - reserveMs;

    async function crashAndRestart(index) {
      const crashed = upstreams[index];
      crashed.crash();
      record.note("crash", { server: crashed.name });
      await sleep(downMs);
      const restarted = create(crashed.id);
      upstreams[index] = restarted;
      await restarted.start(crashed.port);
      record.note("restart", { server: restarted.name });
      // A call to the store takes this long.
      await sleep(4);
      restarted.register();
    }

    async function causeTrouble() {
      while (hasTrouble && !isOver(calmEndMs)) {
        await sleep(crashIntervalMs);
        const order = upstreams.map((_, i) => ({ i, at: Math.random() }))
          .sort((a, b) => a.at - b.at);
        await Promise.all(
          order.slice(0, crashCount).map(({ i }) => crashAndRestart(i)),
        );
      }
    }

    async function request() {
      const id = newId();
      const daemon =
        fleet.daemons[Math.floor(Math.random() * fleet.daemons.length)];
      const key = Math.floor(Math.random() * keyCount);
      record.note("sent", { id, key, to: daemon.name });
      const { status, end } = await send(daemon.front, {
        path: "/map/a",
        headers: {
          host: "app.example",
          "x-request-id": id,
          "x-timeout-ms": "3000",
          "x-shard-key": String(key),
        },
        timeoutMs: 4_000,
      });
      record.note("answered", { id, status, end });
    }

    const trouble = causeTrouble();
    const requests = [];
    while (!isOver(0)) {
      requests.push(request());
      await sleep(1_000 / requestsPerSecond);
    }
    await Promise.all([...requests, trouble]);
    return breaches;
  },
);
