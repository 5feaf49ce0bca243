import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as assert from "uvu/assert";
import { Client } from "undici";
import { describe, it } from "../src/testing/describe.ts";
import { BackendStandin } from "./backend/backend_standin.ts";
import type { Behaviour } from "./backend/behaviour.ts";
import type { ExecutionRecord } from "./backend/execution_log.ts";
import { PlatformStandin } from "./platform_service/platform_standin.ts";

/** Limits a request that would wait forever if a slot were lost. */
const hangLimitMs = 10_000;

/** Sends requests to a stand-in on loopback, each on its own connection. */
class Caller {
  readonly #server: Server;

  constructor(server: Server) {
    this.#server = server;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, "close");
  }

  async call(
    method: string,
    path: string,
    options: {
      readonly body?: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      readonly signal?: AbortSignal;
    } = {},
  ) {
    const { port } = this.#server.address() as AddressInfo;
    const client = new Client(`http://127.0.0.1:${port}`);
    try {
      const answer = await client.request({
        method,
        path,
        headers: { ...options.headers },
        ...(options.signal === undefined ? {} : { signal: options.signal }),
        ...(options.body === undefined
          ? {}
          : { body: JSON.stringify(options.body) }),
      });
      const text = await answer.body.text();
      return { status: answer.statusCode, headers: answer.headers, text };
    } finally {
      await client.destroy();
    }
  }

  run(fence: number, options: Parameters<Caller["call"]>[2] = {}) {
    const headers = {
      "skylark-service": "roster",
      "skylark-key": "farm",
      "skylark-shard": "1",
      "skylark-fence": String(fence),
      "skylark-request-id": "r-1",
      ...options.headers,
    };
    return this.call("GET", "/item", { ...options, headers });
  }

  async log(): Promise<ExecutionRecord[]> {
    return JSON.parse((await this.call("GET", "/-/log")).text);
  }
}

async function withBackend(
  behaviour: Partial<Behaviour>,
  body: (caller: Caller) => Promise<void>,
): Promise<void> {
  const standin = new BackendStandin("s-1", { connectionLimit: 50, behaviour });
  const caller = new Caller(standin.server);
  await caller.start();
  try {
    await body(caller);
  } finally {
    await caller.stop();
  }
}

const grant = {
  service: "roster",
  shards: [1],
  keys: [],
  fence: 5,
  grantDurationMs: 60_000,
};

describe("BackendStandin", () => {
  describe("with grants", () => {
    it("executes only requests that carry the granted fence", () =>
      withBackend({}, async (caller) => {
        assert.is((await caller.run(5)).status, 409);
        await caller.call("POST", "/grant", { body: grant });
        assert.is((await caller.run(4)).status, 409);
        const answer = await caller.run(5);
        assert.is(answer.status, 200);
        assert.is(answer.headers["skylark-request-id"], "r-1");
        const older = { ...grant, fence: 4 };
        const refused = await caller.call("POST", "/grant", { body: older });
        assert.is(refused.status, 409);
        await caller.call("POST", "/revoke", { body: grant });
        assert.is((await caller.run(5)).status, 409);
        assert.is((await caller.log()).length, 1);
      }));

    it("executes every request when it does not check fences", () =>
      withBackend({ checksFence: false }, async (caller) => {
        assert.is((await caller.run(0)).status, 200);
      }));
  });

  describe("when it refuses a request", () => {
    const cases: readonly (readonly [
      reason: string,
      behaviour: Partial<Behaviour>,
      headers: Readonly<Record<string, string>>,
    ])[] = [
      ["shedding", { isShedding: true }, {}],
      ["draining", { isDraining: true, refusesWhileDraining: true }, {}],
      ["start-deadline", {}, { "skylark-start-before-wall-ms": "1" }],
    ];
    for (const [reason, behaviour, headers] of cases) {
      it(`reports ${reason} as the reason and does not execute the request`, () =>
        withBackend({ checksFence: false, ...behaviour }, async (caller) => {
          const answer = await caller.run(0, { headers });
          assert.is(answer.headers["skylark-refused-unrun"], reason);
          assert.equal(await caller.log(), []);
        }));
    }
  });

  describe("on cancellation", () => {
    it("does not execute a request that was waiting for a slot", () =>
      withBackend(
        { checksFence: false, slotCount: 1, serviceTimeMs: 100 },
        async (caller) => {
          const first = caller.run(0);
          while ((await caller.log()).length === 0);
          const controller = new AbortController();
          const second = caller.run(0, { signal: controller.signal })
            .then(() => "answered", () => "cancelled");
          await caller.call("GET", "/health");
          controller.abort();
          assert.is(await second, "cancelled");
          await first;
          const signal = AbortSignal.timeout(hangLimitMs);
          assert.is((await caller.run(0, { signal })).status, 200);
          assert.is((await caller.log()).length, 2);
        },
      ));
  });

  describe("when its behaviour is changed", () => {
    it("executes a request and loses the answer", () =>
      withBackend({ checksFence: false }, async (caller) => {
        await caller.call("POST", "/-/behaviour", {
          body: { answerFault: "lost" },
        });
        const outcome = await caller.run(0).then(() => "answer", () => "none");
        assert.is(outcome, "none");
        assert.is((await caller.log()).length, 1);
      }));

    it("ends a body before its declared length", () =>
      withBackend(
        { checksFence: false, answerBytes: 1_000 },
        async (caller) => {
          await caller.call("POST", "/-/behaviour", {
            body: { answerFault: "cut-body" },
          });
          const outcome = await caller.run(0).then(() => "whole", () => "cut");
          assert.is(outcome, "cut");
        },
      ));

    it("reports the overridden health and load", () =>
      withBackend({ reportedHealthy: false, reportedBusySlots: 9 }, async (
        caller,
      ) => {
        const { text } = await caller.call("GET", "/health");
        assert.equal(JSON.parse(text), {
          isHealthy: false,
          isDraining: false,
          isWarm: true,
          busySlots: 9,
        });
      }));

    it("rejects an unknown setting", () =>
      withBackend({}, async (caller) => {
        const answer = await caller.call("POST", "/-/behaviour", {
          body: { serviceTime: 1 },
        });
        assert.is(answer.status, 400);
      }));
  });
});

describe("PlatformStandin", () => {
  async function withPlatform(
    body: (caller: Caller) => Promise<void>,
  ): Promise<void> {
    const caller = new Caller(new PlatformStandin({ vmListLagMs: 0 }).server);
    await caller.start();
    try {
      await body(caller);
    } finally {
      await caller.stop();
    }
  }

  const write = [{ key: "a", value: "1", expectedVersion: 0 }];

  it("commits a write only at the expected version", () =>
    withPlatform(async (caller) => {
      const options = { body: write };
      const first = await caller.call("POST", "/table/commit", options);
      const second = await caller.call("POST", "/table/commit", options);
      assert.is(JSON.parse(first.text).isCommitted, true);
      assert.is(JSON.parse(second.text).isCommitted, false);
    }));

  it("loses the answers of the requested number of writes", () =>
    withPlatform(async (caller) => {
      await caller.call("POST", "/fault", {
        body: { lostWriteAnswerCount: 1 },
      });
      const lost = await caller.call("POST", "/table/commit", { body: write })
        .then(() => "answer", () => "none");
      assert.is(lost, "none");
      const row = await caller.call("GET", "/table/row?key=a");
      assert.is(JSON.parse(row.text).version, 1);
      const next = [{ key: "b", value: "1", expectedVersion: 0 }];
      const second = await caller.call("POST", "/table/commit", { body: next });
      assert.is(second.status, 200);
    }));

  it("is down until the fault is cleared", () =>
    withPlatform(async (caller) => {
      await caller.call("POST", "/fault", { body: { isDown: true } });
      assert.is((await caller.call("GET", "/vms")).status, 503);
      await caller.call("POST", "/fault", { body: {} });
      assert.is((await caller.call("GET", "/vms")).status, 200);
    }));
});
