import * as assert from "uvu/assert";
import type { RowChange } from "../../host/row_store.ts";
import type { StoreVersion } from "../../types/store_version.ts";
import { describe, it } from "../../testing/describe.ts";
import { TableCopy } from "./table_copy.ts";
import { TableSource } from "./update_origin.ts";

const origin = { source: TableSource.Store, era: 1, silentMs: 0 };

function at(number: number, era = 1): StoreVersion {
  return { era, number };
}

function createChange(
  key: string,
  version: number,
  isRemoved = false,
): RowChange {
  return { table: "t", key, version, isRemoved, value: new Uint8Array() };
}

function createCopy(): { copy: TableCopy; rows: Map<string, number> } {
  const copy = new TableCopy();
  return { copy, rows: addReader(copy) };
}

/** Adds a reader; returns the versions of the rows that it knows, by key. */
function addReader(copy: TableCopy): Map<string, number> {
  const rows = new Map<string, number>();
  copy.addReader({
    onRows: (snapshot) => {
      rows.clear();
      for (const { key, version } of snapshot) rows.set(key, version);
    },
    onChanges: (changes) => {
      for (const { key, version, isRemoved } of changes) {
        if (isRemoved) rows.delete(key);
        else rows.set(key, version);
      }
    },
  });
  return rows;
}

describe("TableCopy", () => {
  describe("with several readers", () => {
    it("gives each the current rows when it joins, and later changes", () => {
      const { copy, rows } = createCopy();
      const changes = [createChange("a", 3), createChange("b", 4)];
      copy.apply({ version: at(5), isSnapshot: true, changes }, origin);
      const laterRows = addReader(copy);
      copy.apply({
        version: at(9),
        isSnapshot: false,
        changes: [createChange("a", 9, true)],
      }, origin);
      assert.equal([...rows], [["b", 4]]);
      assert.equal([...laterRows], [["b", 4]]);
    });
  });

  it("applies changes", () => {
    const { copy, rows } = createCopy();
    copy.apply({
      version: at(5),
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    copy.apply({
      version: at(9),
      isSnapshot: false,
      changes: [createChange("b", 7), createChange("a", 9, true)],
    }, origin);
    assert.equal([...rows], [["b", 7]]);
    assert.equal(copy.version, at(9));
  });

  it("ignores an update older than the copy", () => {
    const { copy, rows } = createCopy();
    copy.apply({
      version: at(9),
      isSnapshot: true,
      changes: [createChange("a", 9)],
    }, origin);
    copy.apply({
      version: at(5),
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    assert.equal([...rows], [["a", 9]]);
  });

  describe("when the store has begun a new era", () => {
    function createOldCopy() {
      const { copy, rows } = createCopy();
      copy.apply({
        version: at(50),
        isSnapshot: true,
        changes: [createChange("a", 50), createChange("b", 40)],
      }, origin);
      return { copy, rows };
    }

    it("replaces its rows by a snapshot with a lower version", () => {
      const { copy, rows } = createOldCopy();
      copy.apply({
        version: at(20, 2),
        isSnapshot: true,
        changes: [createChange("a", 12)],
      }, origin);
      assert.equal([...rows], [["a", 12]]);
      assert.equal(copy.version, at(20, 2));
    });

    // Guards against changes of the new era on top of what the store has lost.
    it("does not apply changes without a snapshot", () => {
      const { copy, rows } = createOldCopy();
      copy.apply({
        version: at(60, 2),
        isSnapshot: false,
        changes: [createChange("c", 55)],
      }, origin);
      assert.equal([...rows], [["a", 50], ["b", 40]]);
      assert.equal(copy.version, at(50));
    });

    // Guards against a peer's copy of the old era that arrives late.
    it("ignores a copy of the old era, though its version is higher", () => {
      const { copy, rows } = createOldCopy();
      const changes = [createChange("a", 12)];
      copy.apply({ version: at(20, 2), isSnapshot: true, changes }, origin);
      for (const isSnapshot of [true, false]) {
        copy.apply({
          version: at(70),
          isSnapshot,
          changes: [createChange("a", 70)],
        }, origin);
      }
      assert.equal([...rows], [["a", 12]]);
    });

    it("sends a snapshot to a copy of the old era, and nothing to one of a newer era", () => {
      const { copy } = createOldCopy();
      const changes = [createChange("a", 12)];
      copy.apply({ version: at(20, 2), isSnapshot: true, changes }, origin);
      assert.is(copy.updateAfter(at(50)).isSnapshot, true);
      const newer = copy.updateAfter(at(3, 3));
      assert.is(newer.isSnapshot, false);
      assert.equal(newer.changes, []);
    });

    it("keeps the rows that a reader wants to keep", () => {
      const { copy, rows } = createOldCopy();
      copy.addReader({
        onRows: () => {},
        onChanges: () => {},
        keepsRow: ({ key }) => key === "b",
      });
      copy.apply({ version: at(20, 2), isSnapshot: true, changes: [] }, origin);
      assert.equal([...rows], [["b", 20]]);
    });
  });

  it("brings another copy up to date", () => {
    const source = createCopy();
    const target = createCopy();
    source.copy.apply({
      version: at(5),
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    target.copy.apply(source.copy.updateAfter(undefined), origin);
    source.copy.apply({
      version: at(8),
      isSnapshot: false,
      changes: [createChange("b", 8)],
    }, origin);
    const update = source.copy.updateAfter(target.copy.version);
    assert.is(update.isSnapshot, false);
    target.copy.apply(update, origin);
    assert.equal([...target.rows], [...source.rows]);
  });

  it("returns a snapshot for a copy older than the kept changes", () => {
    const { copy } = createCopy();
    copy.apply({
      version: at(50),
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    const update = copy.updateAfter(at(10));
    assert.is(update.isSnapshot, true);
    assert.is(update.changes.length, 1);
  });
});
