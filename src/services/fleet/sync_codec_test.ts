import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { RowChange } from "../../host/row_store.ts";
import { SeededRandomSource } from "../../host/random_source.ts";
import {
  encodeRanges,
  keysRowCount,
  keysRowKey,
} from "../keyspace/fleet_rows.ts";
import { LoadBand } from "../capacity/load_band.ts";
import {
  decodeSyncAnswer,
  decodeSyncRequest,
  encodeSyncAnswer,
  encodeSyncRequest,
  type SyncAnswer,
} from "./sync_codec.ts";

const table = "fleet";
const ownEra = 2;

function createAnswer(changes: readonly RowChange[]): SyncAnswer {
  return {
    updates: new Map([[table, {
      version: { era: 2, number: 9 },
      isSnapshot: false,
      changes,
    }]]),
    isDirectoryComplete: true,
    leavingIncarnations: ["server-1@5"],
    capacityUpdate: { version: 4, capacities: { "server-1@5": [2.5, 1.4] } },
  };
}

/** Creates the rows with the owners of all keys of a service with a hundred servers. */
function createOwnerRows(): RowChange[] {
  const random = new SeededRandomSource(1);
  const rangesPerRow = 15;
  return Array.from({ length: keysRowCount }, (_, rowIndex) => ({
    table,
    key: keysRowKey({ service: "roster", index: rowIndex }),
    version: 9,
    isRemoved: false,
    value: encodeRanges(
      Array.from({ length: rangesPerRow }, (_, i) => ({
        first: rowIndex * 4_096 + i * 250,
        last: rowIndex * 4_096 + i * 250 + 249,
        isServing: true,
        former: [],
        target: {
          id: `i-${random.nextId().slice(0, 10)}`,
          bornAtMs: 1_777_432_602_823 + random.nextInt(6_000),
          address: `10.${random.nextInt(4)}.64.${random.nextInt(120)}:8722`,
        },
      })),
    ),
  }));
}

describe("the codec of sync messages", () => {
  it("preserves arbitrary bytes and removals", () => {
    const value = Uint8Array.from({ length: 256 }, (_, i) => i);
    const changes: RowChange[] = [
      { table, key: "a", version: 7, value, isRemoved: false },
      { table, key: "b", version: 8, value: Buffer.alloc(0), isRemoved: true },
    ];
    const decoded = decodeSyncAnswer(
      encodeSyncAnswer(createAnswer(changes)),
      ownEra,
    );
    const { version, isSnapshot, changes: received } = decoded.updates.get(
      table,
    )!;
    assert.is(decoded.isDirectoryComplete, true);
    assert.equal(decoded.leavingIncarnations, ["server-1@5"]);
    assert.equal(decoded.capacityUpdate, {
      version: 4,
      capacities: { "server-1@5": [2.5, 1.4] },
    });
    assert.equal(version, { era: 2, number: 9 });
    assert.is(isSnapshot, false);
    assert.equal([...received[0]!.value], [...value]);
    assert.equal(received.map(({ key, isRemoved }) => [key, isRemoved]), [
      ["a", false],
      ["b", true],
    ]);
  });

  it("encodes all owners of a large service in about 8 KB", () => {
    // Answers of this size to 90 daemons take 0.6 seconds of a link of
    // 10 Mbit/s, so that all daemons receive the owners within a second.
    const maxBytes = 10_000_000 / 8 / 90 * 0.6;
    const { length } = encodeSyncAnswer(createAnswer(createOwnerRows()));
    assert.ok(length < maxBytes, `${length} bytes`);
  });

  describe("between releases with and without learned capacities", () => {
    const request = {
      versions: new Map([[table, { era: 2, number: 3 }]]),
      load: { keys: { roster: [[1, 2] as const] } },
      capacityReport: { "server-1@5": [[LoadBand.Half, 3, -12, 0] as const] },
      capacityVersion: 4,
      leavingIncarnations: [],
      waitMs: 600,
    };

    it("keeps counts and the version", () => {
      const decoded = decodeSyncRequest(encodeSyncRequest(request), ownEra);
      assert.equal(decoded.capacityReport, request.capacityReport);
      assert.is(decoded.capacityVersion, 4);
    });

    it("sends an earlier granter the empty sums that it reads", () => {
      const { load } = JSON.parse(encodeSyncRequest(request));
      assert.equal(load, { keys: { roster: [[1, 2]] }, work: {} });
    });

    it("accepts the request of an earlier daemon, which takes no estimates", () => {
      const { load, waitMs } = request;
      const work = { "server-1@5": [1, 80] };
      const text = JSON.stringify({
        versions: [[table, 3]],
        load: { ...load, work },
        waitMs,
      });
      const decoded = decodeSyncRequest(text, ownEra);
      assert.equal(decoded.capacityReport, {});
      assert.is(decoded.capacityVersion, undefined);
      assert.equal(decoded.load.keys, load.keys);
    });

    it("leaves estimates out of the answer to an earlier daemon", () => {
      const answer = { ...createAnswer([]), capacityUpdate: undefined };
      const decoded = decodeSyncAnswer(encodeSyncAnswer(answer), ownEra);
      assert.is(decoded.capacityUpdate, undefined);
    });

    it("encodes a hundred estimates in about 2 KB", () => {
      const random = new SeededRandomSource(1);
      const capacities = Object.fromEntries(
        Array.from({ length: 100 }, () => {
          const id = `i-${random.nextId().slice(0, 10)}`;
          const bornAtMs = 1_777_432_602_823 + random.nextInt(6_000);
          const estimate = [1 + random.nextInt(40) / 20, 1.25] as const;
          return [`${id}@${bornAtMs}`, estimate] as const;
        }),
      );
      const answer = createAnswer([]);
      const { length } = encodeSyncAnswer({
        ...answer,
        capacityUpdate: { version: 5, capacities },
      });
      assert.ok(length < 100 * 22, `${length} bytes`);
    });
  });

  it("throws on bytes that are not an encoded answer", () => {
    assert.throws(() => decodeSyncAnswer(Buffer.from("no answer"), ownEra));
  });
});
