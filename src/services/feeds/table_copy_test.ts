import * as assert from "uvu/assert";
import type { RowChange } from "../../host/row_store.ts";
import { describe, it } from "../../testing/describe.ts";
import { TableCopy } from "./table_copy.ts";
import { TableSource } from "./update_origin.ts";

const origin = { source: TableSource.Store, silentMs: 0 };

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
      copy.apply({ version: 5, isSnapshot: true, changes }, origin);
      const laterRows = addReader(copy);
      copy.apply({
        version: 9,
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
      version: 5,
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    copy.apply({
      version: 9,
      isSnapshot: false,
      changes: [createChange("b", 7), createChange("a", 9, true)],
    }, origin);
    assert.equal([...rows], [["b", 7]]);
    assert.is(copy.version, 9);
  });

  it("ignores an update older than the copy", () => {
    const { copy, rows } = createCopy();
    copy.apply({
      version: 9,
      isSnapshot: true,
      changes: [createChange("a", 9)],
    }, origin);
    copy.apply({
      version: 5,
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    assert.equal([...rows], [["a", 9]]);
  });

  it("brings another copy up to date", () => {
    const source = createCopy();
    const target = createCopy();
    source.copy.apply({
      version: 5,
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    target.copy.apply(source.copy.updateAfter(undefined), origin);
    source.copy.apply({
      version: 8,
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
      version: 50,
      isSnapshot: true,
      changes: [createChange("a", 3)],
    }, origin);
    const update = copy.updateAfter(10);
    assert.is(update.isSnapshot, true);
    assert.is(update.changes.length, 1);
  });
});
