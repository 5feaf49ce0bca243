import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
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

describe("IdempotencyGuard", () => {
  describe("a repeat at the same home", () => {
    it("receives the first answer again", async () => {
      const fleet = await startFleet();
      const [, first, second] = fleet.daemons;
      const request = fleet.createConfirmation();
      const original = await fleet.settle(
        fleet.deliverWhole(first!, request),
      );
      const repeat = await fleet.settle(
        fleet.deliverWhole(second!, { ...request, requestId: "repeat" }),
      );
      assert.ok(original.isOk() && repeat.isOk());
      assert.is(repeat.value.text, original.value.text);
      assert.is(repeat.value.headers["skylark-repeat"], "answered");
      assert.is(repeat.value.headers["skylark-request-id"], "repeat");
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });

    it("waits for a request in progress", async () => {
      const fleet = await startFleet({ behaviour: { serviceTimeMs: 300 } });
      const [, first, second] = fleet.daemons;
      const request = fleet.createConfirmation();
      const results = await fleet.settle(Promise.all([
        fleet.deliverWhole(first!, request),
        fleet.deliverWhole(second!, { ...request, requestId: "repeat" }),
      ]));
      assert.ok(results.every((result) => result.isOk()));
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });

    it("receives the answer after the first caller cancelled", async () => {
      const fleet = await startFleet({ behaviour: { serviceTimeMs: 300 } });
      const [, first, second] = fleet.daemons;
      const caller = new AbortController();
      const request = fleet.createConfirmation();
      const abandoned = fleet.deliver(first!, request, caller.signal);
      await fleet.clock.advance(50);
      caller.abort();
      await fleet.settle(abandoned);
      const repeat = await fleet.settle(
        fleet.deliverWhole(second!, { ...request, requestId: "repeat" }),
      );
      assert.ok(repeat.isOk());
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });

    it("fails with an unknown outcome after a lost answer", async () => {
      const fleet = await startFleet({ behaviour: { losesAnswers: true } });
      const [, first, second] = fleet.daemons;
      const request = fleet.createConfirmation();
      for (const daemon of [first!, second!, second!]) {
        const result = await fleet.settle(fleet.deliver(daemon, request));
        assert.ok(result.isErr());
        assert.is(result.error.outcome, AttemptOutcome.Unknown);
      }
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });

    it("runs when the first request was refused without running", async () => {
      const fleet = await startFleet({ behaviour: { isShedding: true } });
      const [, entry] = fleet.daemons;
      const request = fleet.createConfirmation({ deadlineAtMs: 600 });
      const refused = await fleet.settle(fleet.deliver(entry!, request));
      assert.ok(refused.isErr());
      assert.is(refused.error.outcome, AttemptOutcome.RefusedUnrun);
      assert.is(fleet.backends.executions().length, 0);
      fleet.backends.servers.get("server-0")!.behaviour.isShedding = false;
      const repeat = await fleet.settle(fleet.deliverWhole(
        entry!,
        fleet.createConfirmation(),
      ));
      assert.ok(repeat.isOk());
      await fleet.stop();
    });

    it("is refused when the key was used for another request", async () => {
      const fleet = await startFleet();
      const [, entry] = fleet.daemons;
      await fleet.settle(
        fleet.deliverWhole(entry!, fleet.createConfirmation()),
      );
      const reusedKey = await fleet.settle(fleet.deliver(
        entry!,
        fleet.createConfirmation({ body: Buffer.from("other") }),
      ));
      assert.ok(reusedKey.isErr());
      assert.is(reusedKey.error.code, MessageCode.RequestMalformed);
      const otherCustomer = await fleet.settle(fleet.deliverWhole(
        entry!,
        fleet.createConfirmation({ customer: "another" }),
      ));
      assert.ok(otherCustomer.isOk());
      assert.is(fleet.backends.executions().length, 2);
      await fleet.stop();
    });
  });

  describe("a repeat after the loss of the home", () => {
    it("does not run twice when the standby becomes home", async () => {
      const fleet = await startFleet({ behaviour: { serviceTimeMs: 200 } });
      const [home, standby, entry] = fleet.daemons;
      const request = fleet.createConfirmation();
      const first = fleet.deliver(entry!, request);
      await fleet.clock.advance(100);
      assert.is(fleet.backends.executions().length, 1);
      fleet.kill(home!);
      await fleet.clock.advance(2_000);
      fleet.assign({
        servers: fleet.serversWith(0, {
          homeDaemonId: standby!.info.daemonId,
          standbyDaemonId: entry!.info.daemonId,
          homeFence: 2,
        }),
      });
      await fleet.settle(first);
      const repeat = await fleet.settle(fleet.deliver(
        standby!,
        { ...request, requestId: "repeat", deadlineAtMs: 9_000 },
      ));
      assert.ok(repeat.isErr());
      assert.is(repeat.error.outcome, AttemptOutcome.Unknown);
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });

    it("receives the answer from a home that was not the standby", async () => {
      const fleet = await startFleet();
      const [home, standby, other] = fleet.daemons;
      const request = fleet.createConfirmation();
      const original = await fleet.settle(
        fleet.deliverWhole(other!, request),
      );
      await fleet.clock.advance(50);
      fleet.kill(home!);
      fleet.assign({
        servers: fleet.serversWith(0, {
          homeDaemonId: other!.info.daemonId,
          standbyDaemonId: standby!.info.daemonId,
          homeFence: 2,
        }),
      });
      const repeat = await fleet.settle(
        fleet.deliverWhole(standby!, { ...request, requestId: "repeat" }),
      );
      assert.ok(original.isOk() && repeat.isOk());
      assert.is(repeat.value.text, original.value.text);
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });
  });

  describe("a repeat after the loss of home and standby", () => {
    it("does not run, since no record of the first request is left", async () => {
      const fleet = await startFleet({ daemonCount: 4 });
      const [home, standby, next, other] = fleet.daemons;
      const request = fleet.createConfirmation();
      await fleet.settle(fleet.deliverWhole(other!, request));
      fleet.kill(home!);
      fleet.kill(standby!);
      fleet.assign({
        servers: fleet.serversWith(0, {
          homeDaemonId: next!.info.daemonId,
          standbyDaemonId: other!.info.daemonId,
          homeFence: 2,
        }),
      });
      const repeat = await fleet.settle(
        fleet.deliver(other!, { ...request, requestId: "repeat" }),
      );
      assert.ok(repeat.isErr());
      assert.is(repeat.error.outcome, AttemptOutcome.Unknown);
      assert.is(fleet.backends.executions().length, 1);
      const read = await fleet.settle(
        fleet.deliverWhole(other!, fleet.createRequest()),
      );
      assert.ok(read.isOk());
      await fleet.stop();
    });
  });

  describe("a repeat after a move", () => {
    it("receives the answer from the home of the new owner", async () => {
      const fleet = await startFleet({ serverCount: 3 });
      const [, entry] = fleet.daemons;
      const request = fleet.createConfirmation({ key: "p" });
      await fleet.settle(fleet.deliverWhole(entry!, request));
      fleet.assign({
        shardServers: fleet.assignment.shardServers.map(() => -1),
      });
      fleet.assign({
        shardServers: fleet.assignment.shardServers.map(() => 2),
        shardFences: fleet.assignment.shardFences.map(() => 2),
      });
      const repeat = await fleet.settle(
        fleet.deliverWhole(entry!, { ...request, requestId: "repeat" }),
      );
      assert.ok(repeat.isOk());
      assert.is(repeat.value.headers["skylark-repeat"], "answered");
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });

    it("receives the answer after its key became an override", async () => {
      const fleet = await startFleet({ serverCount: 3 });
      const [, entry] = fleet.daemons;
      const request = fleet.createConfirmation({ key: "p" });
      await fleet.settle(fleet.deliverWhole(entry!, request));
      fleet.assign({
        overrides: [{ key: "p", serverId: "server-2", fence: 5 }],
      });
      const repeat = await fleet.settle(
        fleet.deliverWhole(entry!, { ...request, requestId: "repeat" }),
      );
      assert.ok(repeat.isOk());
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });
  });

  describe("an unreachable standby", () => {
    it("causes the request to fail as not sent", async () => {
      const fleet = await startFleet();
      const [home, standby] = fleet.daemons;
      fleet.network.cut(home!.info.address, standby!.info.address);
      const request = fleet.createConfirmation({ deadlineAtMs: 1_500 });
      const result = await fleet.settle(fleet.deliver(home!, request));
      assert.ok(result.isErr());
      assert.is(result.error.outcome, AttemptOutcome.NotSent);
      assert.is(fleet.backends.executions().length, 0);
      fleet.network.healAll();
      await fleet.stop();
    });
  });

  describe("a request without an idempotency key", () => {
    it("is not resent after an unknown outcome", async () => {
      const fleet = await startFleet({ behaviour: { losesAnswers: true } });
      const [, entry] = fleet.daemons;
      const result = await fleet.settle(fleet.deliver(
        entry!,
        fleet.createConfirmation({ idempotencyKey: undefined }),
      ));
      assert.ok(result.isErr());
      assert.is(result.error.outcome, AttemptOutcome.Unknown);
      assert.is(fleet.backends.executions().length, 1);
      await fleet.stop();
    });
  });
});
