import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import { HomeFleet } from "../../testing/home_fleet.ts";
import { AttemptOutcome } from "../../types/enums.ts";

async function startFleet(
  options: Partial<ConstructorParameters<typeof HomeFleet>[0]> = {},
): Promise<HomeFleet> {
  const fleet = new HomeFleet({ daemonCount: 3, serverCount: 1, ...options });
  await fleet.start();
  return fleet;
}

describe("RetryingDelivery", () => {
  describe("when the key is moving", () => {
    it("delivers the request as soon as the new assignment arrives", async () => {
      const fleet = await startFleet();
      const { shardServers } = fleet.assignment;
      fleet.assign({ shardServers: shardServers.map(() => -1) });
      let answeredAtMs: number | undefined;
      const pending = fleet.deliverWhole(
        fleet.daemons[2]!,
        fleet.createRequest(),
      )
        .then((result) => {
          answeredAtMs = fleet.clock.nowMs();
          return result;
        });
      await fleet.clock.advance(2_000);
      assert.is(answeredAtMs, undefined);
      const movedAtMs = fleet.clock.nowMs();
      fleet.assign({ shardServers });
      const result = await fleet.settle(pending);
      assert.ok(result.isOk());
      assert.ok(answeredAtMs! - movedAtMs <= 10, `${answeredAtMs} ms`);
      await fleet.stop();
    });

    it("fails at the deadline with outcome not-sent", async () => {
      const fleet = await startFleet();
      const { shardServers } = fleet.assignment;
      fleet.assign({ shardServers: shardServers.map(() => -1) });
      const result = await fleet.settle(fleet.deliver(
        fleet.daemons[2]!,
        fleet.createConfirmation({ deadlineAtMs: 1_000 }),
      ));
      assert.ok(result.isErr());
      assert.is(result.error.outcome, AttemptOutcome.NotSent);
      assert.is(result.error.code, MessageCode.KeyMoving);
      assert.ok(fleet.clock.nowMs() < 1_100);
      await fleet.stop();
    });
  });

  describe("when the assignment is stale", () => {
    it("waits for a newer assignment after the former home refuses", async () => {
      const fleet = await startFleet();
      const [first, second, entry] = fleet.daemons;
      fleet.assign(
        {
          servers: fleet.serversWith(0, {
            homeDaemonId: second!.info.daemonId,
            homeFence: 2,
          }),
        },
        [first!, second!],
      );
      const pending = fleet.deliverWhole(entry!, fleet.createRequest());
      await fleet.clock.advance(300);
      assert.is(fleet.backends.executions().length, 0);
      entry!.ownership.assign(fleet.assignment);
      const result = await fleet.settle(pending);
      assert.ok(result.isOk());
      await fleet.stop();
    });
  });

  describe("when the home is frozen", () => {
    it("retries only idempotent requests on the home that replaces it", async () => {
      const fleet = await startFleet();
      const [home, standby, entry] = fleet.daemons;
      home!.clock.freeze();
      const read = fleet.deliverWhole(entry!, fleet.createRequest());
      const confirmation = fleet.deliver(entry!, fleet.createConfirmation());
      await fleet.clock.advance(2_000);
      const replacedAtMs = fleet.clock.nowMs();
      fleet.assign({
        servers: fleet.serversWith(0, {
          homeDaemonId: standby!.info.daemonId,
          standbyDaemonId: entry!.info.daemonId,
          homeFence: 2,
        }),
      });
      const result = await fleet.settle(read);
      assert.ok(result.isOk());
      assert.ok(fleet.clock.nowMs() - replacedAtMs < 1_000);
      const unknown = await fleet.settle(confirmation);
      assert.is(
        unknown.isErr() && unknown.error.outcome,
        AttemptOutcome.Unknown,
      );
      home!.clock.thaw();
      await fleet.clock.advance(3_000);
      const runs = fleet.backends.executions().filter((e) => !e.isIdempotent);
      assert.ok(runs.length <= 1);
      await fleet.stop();
    });
  });

  describe("when the backend server sheds all requests", () => {
    it("keeps the fleet's retries within a tenth of its requests", async () => {
      const fleet = await startFleet({ behaviour: { isShedding: true } });
      const requestCount = 600;
      const pending: Promise<unknown>[] = [];
      for (let count = 0; count < requestCount; count++) {
        const daemon = fleet.daemons[count % fleet.daemons.length]!;
        pending.push(fleet.deliver(daemon, fleet.createRequest()));
        await fleet.clock.advance(5);
      }
      const results = await fleet.settle(Promise.all(pending), 30_000);
      assert.is(results.length, requestCount);
      const [home] = fleet.daemons;
      const sentCount = home!.kernel.get(ServiceName.Metrics).counters()
        .get("attempts.sent") ?? 0;
      const reserveCount = 10 * fleet.daemons.length;
      const limit = requestCount * 1.1 + reserveCount;
      assert.ok(sentCount <= limit, `${sentCount} attempts`);
      await fleet.stop();
    });
  });

  describe("when a backend server is lost", () => {
    it("runs idempotent requests elsewhere and fails others as unknown", async () => {
      const fleet = await startFleet({ serverCount: 2 });
      const [, , entry] = fleet.daemons;
      const lost = fleet.backends.servers.get("server-0")!;
      lost.clock.freeze();
      const read = fleet.deliverWhole(
        entry!,
        fleet.createRequest({ key: "p" }),
      );
      const confirmation = fleet.deliver(
        entry!,
        fleet.createConfirmation({ key: "p" }),
      );
      await fleet.clock.advance(800);
      fleet.assign({
        shardServers: fleet.assignment.shardServers.map(() => 1),
        shardFences: fleet.assignment.shardFences.map(() => 2),
      });
      const result = await fleet.settle(read, 300);
      assert.ok(result.isOk());
      assert.is(result.value.headers["skylark-server"], "server-1");
      const unknown = await fleet.settle(confirmation);
      assert.is(
        unknown.isErr() && unknown.error.outcome,
        AttemptOutcome.Unknown,
      );
      await fleet.stop();
    });
  });

  describe("when the caller cancels", () => {
    it("stops waiting at once", async () => {
      const fleet = await startFleet();
      const { shardServers } = fleet.assignment;
      fleet.assign({ shardServers: shardServers.map(() => -1) });
      const caller = new AbortController();
      const pending = fleet.deliver(
        fleet.daemons[2]!,
        fleet.createRequest(),
        caller.signal,
      );
      await fleet.clock.advance(100);
      caller.abort();
      const result = await fleet.settle(pending, 20);
      assert.ok(result.isErr());
      await fleet.stop();
    });
  });
});
