import * as assert from "uvu/assert";
import fc from "fast-check";
import { describe, it } from "../../testing/describe.ts";
import { FencingMode, MoveReason, RequestClass } from "../../types/enums.ts";
import type { ServerId, ServiceDefinition } from "../../types/types.ts";
import { computeShard, createHashFunction } from "../../hashing/key_hash.ts";
import type { KeyRate } from "./ownership.ts";
import type { Placement, PlacementInput, PlannedMove } from "./placement.ts";
import { BoundedLoadPlacement } from "./placement_bounded_load.ts";
import { MinimumMovePlacement } from "./placement_minimum_move.ts";
import { RendezvousPlacement } from "./placement_rendezvous.ts";

const hash = await createHashFunction();
const minimumMove = new MinimumMovePlacement();
const placements = new Map<string, Placement>([
  ["rendezvous", new RendezvousPlacement()],
  ["bounded load", new BoundedLoadPlacement()],
  ["minimum move", minimumMove],
]);
const runs = { seed: 20_261, numRuns: 60 };
const shardsPerServer = 16;
const targetRatio = 1.1;

/** Owners, overrides and rates of a service, to which planned moves apply. */
class ServiceModel {
  readonly definition: ServiceDefinition;
  servers: ServerId[];
  owners: (ServerId | undefined)[];
  rates: number[];
  hotKeys: KeyRate[] = [];
  readonly overrides = new Map<string, ServerId>();

  constructor(serverCount: number, rates: number[], churnWeight = 1) {
    this.servers = Array.from({ length: serverCount }, (_, i) => `server-${i}`);
    this.rates = rates;
    this.owners = rates.map(() => undefined);
    this.definition = {
      name: "roster",
      requestClass: RequestClass.LiveRead,
      shardCount: rates.length,
      fencingMode: FencingMode.Checked,
      slotsPerServer: 3,
      connectionsPerServer: 50,
      churnWeight,
    };
  }

  input(moveBudget: number): PlacementInput {
    return {
      definition: this.definition,
      hash,
      servers: this.servers.map((serverId) => ({
        serverId,
        dataCentre: "dc-a",
        acceptsMoves: true,
      })),
      shardOwners: this.owners,
      shardRates: this.rates,
      overrides: this.overrides,
      hotKeys: this.hotKeys,
      moveBudget,
    };
  }

  /** Plans moves, applies them and returns them. */
  step(placement: Placement, moveBudget = 1_000): readonly PlannedMove[] {
    const moves = placement.plan(this.input(moveBudget));
    for (const { shard, key, toServerId } of moves) {
      if (shard !== undefined) this.owners[shard] = toServerId;
      else if (toServerId === undefined) this.overrides.delete(key!);
      else this.overrides.set(key!, toServerId);
    }
    return moves;
  }

  loads(): number[] {
    const loads = new Map(this.servers.map((serverId) => [serverId, 0]));
    const add = (owner: ServerId | undefined, rate: number) =>
      loads.set(owner!, loads.get(owner!)! + rate);
    for (const [shard, owner] of this.owners.entries()) {
      add(owner, this.rates[shard]!);
    }
    for (const { key, requestsPerSecond } of this.hotKeys) {
      const shard = computeShard(hash, key, this.definition);
      add(this.overrides.get(key) ?? this.owners[shard], requestsPerSecond);
    }
    return [...loads.values()];
  }

  /** Ratio of the highest load to a lower bound on it under any placement. */
  overloadRatio(): number {
    const loads = this.loads();
    const total = loads.reduce((sum, load) => sum + load, 0);
    const heaviestKey = Math.max(
      0,
      ...this.hotKeys.map((k) => k.requestsPerSecond),
    );
    const bound = Math.max(total / loads.length, heaviestKey);
    return Math.max(...loads) / bound;
  }
}

/** Services of 4 to 24 servers whose shard rates are within a range. */
function createModels(min: number, max: number): fc.Arbitrary<ServiceModel> {
  return fc.integer({ min: 4, max: 24 }).chain((serverCount) =>
    fc.array(fc.integer({ min, max }), {
      minLength: serverCount * shardsPerServer,
      maxLength: serverCount * shardsPerServer,
    }).map((rates) => new ServiceModel(serverCount, rates))
  );
}

const models = createModels(5, 100);
/**
 * Services whose shard rates differ by a factor of at most 3. With a larger
 * factor, a heavy shard of a lost server can require further moves to make
 * room, and the minimum number of moves is unknown.
 */
const evenModels = createModels(20, 60);

function countOwned(moves: readonly PlannedMove[]): number {
  return moves.filter((m) => m.reason !== MoveReason.Initial).length;
}

describe("Placement", () => {
  for (const [name, placement] of placements) {
    describe(name, () => {
      it("assigns every unowned shard without any move budget", () => {
        fc.assert(
          fc.property(models, (model) => {
            model.step(placement, 0);
            assert.ok(model.owners.every((o) => model.servers.includes(o!)));
            model.servers = model.servers.slice(1);
            model.step(placement, 0);
            assert.ok(model.owners.every((o) => model.servers.includes(o!)));
          }),
          runs,
        );
      });

      it("moves no more owned shards than the budget allows", () => {
        fc.assert(
          fc.property(models, fc.nat(8), (model, moveBudget) => {
            model.step(placement);
            model.rates = model.rates.toReversed();
            model.servers = [...model.servers, "server-new"];
            const moves = model.step(placement, moveBudget);
            assert.ok(moves.length <= moveBudget);
          }),
          runs,
        );
      });

      it("assigns nothing to a server that accepts no moves", () => {
        const model = new ServiceModel(4, Array(64).fill(10));
        const input = model.input(10);
        const servers = input.servers.map((server, index) => ({
          ...server,
          acceptsMoves: index !== 0,
        }));
        const moves = placement.plan({ ...input, servers });
        assert.is(moves.length, 64);
        assert.ok(moves.every((move) => move.toServerId !== "server-0"));
      });

      it("plans nothing without servers", () => {
        const model = new ServiceModel(0, Array(16).fill(10));
        assert.equal(placement.plan(model.input(10)), []);
      });
    });
  }

  describe("minimum move", () => {
    it("keeps the highest load within 1.1 times the lower bound", () => {
      fc.assert(
        fc.property(models, (model) => {
          model.step(minimumMove);
          assert.ok(model.overloadRatio() <= targetRatio);
          model.rates = model.rates.toReversed();
          model.step(minimumMove);
          assert.ok(model.overloadRatio() <= targetRatio);
        }),
        runs,
      );
    });

    it("makes at most 1.1 times the minimum number of moves when a server leaves", () => {
      fc.assert(
        fc.property(evenModels, (model) => {
          model.step(minimumMove);
          const lost = model.servers[0]!;
          const minimum = model.owners.filter((o) => o === lost).length;
          model.servers = model.servers.slice(1);
          const moves = model.step(minimumMove);
          assert.ok(countOwned(moves) <= Math.ceil(minimum * targetRatio));
          assert.ok(model.overloadRatio() <= targetRatio);
        }),
        runs,
      );
    });

    it("makes at most 1.1 times the minimum number of moves when a server joins", () => {
      fc.assert(
        fc.property(evenModels, (model) => {
          model.step(minimumMove);
          model.servers = [...model.servers, "server-new"];
          const minimum = model.rates.length / model.servers.length;
          const moves = model.step(minimumMove);
          assert.ok(moves.length <= Math.ceil(minimum * targetRatio));
          assert.ok(model.overloadRatio() <= targetRatio);
        }),
        runs,
      );
    });

    it("plans no move while the load is within the tolerance", () => {
      fc.assert(
        fc.property(models, (model) => {
          model.step(minimumMove);
          assert.equal(model.step(minimumMove), []);
        }),
        runs,
      );
    });

    it("tolerates more imbalance with a higher churn weight", () => {
      const rates = Array(64).fill(10);
      const lowChurnWeight = new ServiceModel(4, rates, 1);
      const highChurnWeight = new ServiceModel(4, rates, 10);
      for (const model of [lowChurnWeight, highChurnWeight]) {
        model.owners = rates.map((_, shard) => `server-${shard % 4}`);
        model.owners[1] = "server-0";
      }
      assert.is.not(lowChurnWeight.step(minimumMove).length, 0);
      assert.is(highChurnWeight.step(minimumMove).length, 0);
    });
  });

  describe("a hot key", () => {
    const hotKey = (key: string, requestsPerSecond: number) => ({
      key,
      requestsPerSecond,
    });

    /** Finds keys whose shards the first server owns. */
    function findKeysOfFirstServer(
      model: ServiceModel,
      count: number,
    ): string[] {
      const keys: string[] = [];
      for (let index = 0; keys.length < count; index++) {
        const shard = computeShard(hash, `key-${index}`, model.definition);
        if (model.owners[shard] === "server-0") keys.push(`key-${index}`);
      }
      return keys;
    }

    it("gets an override while it is hot and loses it when it is cold", () => {
      const model = new ServiceModel(8, Array(128).fill(10));
      model.step(minimumMove);
      const [first, second] = findKeysOfFirstServer(model, 2) as [
        string,
        string,
      ];
      const createHotKeys = (
        rate: number,
      ) => [hotKey(first, 100), hotKey(second, rate)];
      model.hotKeys = createHotKeys(90);
      const moves = model.step(minimumMove);
      assert.ok(moves.some((m) => m.reason === MoveReason.HotKey));
      assert.is(model.overrides.size, 1);
      assert.ok(model.overloadRatio() <= targetRatio);
      const [overridden] = [...model.overrides.keys()] as [string];
      model.hotKeys = [hotKey(overridden, 30)];
      model.step(minimumMove);
      assert.ok(
        model.overrides.has(overridden),
        "a rate between the two thresholds keeps the override",
      );
      model.hotKeys = [hotKey(overridden, 1)];
      model.step(minimumMove);
      assert.not.ok(model.overrides.has(overridden));
    });

    it("gets no override beyond the maximum number of overrides", () => {
      const model = new ServiceModel(24, Array(24 * 16).fill(1));
      model.step(minimumMove);
      model.hotKeys = findKeysOfFirstServer(model, 40).map((key) =>
        hotKey(key, 100)
      );
      model.step(minimumMove);
      assert.is(model.overrides.size, 16);
    });

    it("moves from a lost server when the move budget is exhausted", () => {
      const model = new ServiceModel(4, Array(64).fill(10));
      model.step(minimumMove);
      model.hotKeys = [hotKey("farm-1", 120)];
      model.overrides.set("farm-1", "server-2");
      model.servers = model.servers.filter((id) => id !== "server-2");
      model.step(minimumMove, 0);
      assert.ok(model.servers.includes(model.overrides.get("farm-1")!));
    });
  });
});
