import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { RequestClass } from "../../types/enums.ts";
import { ClassQueue } from "./class_queue.ts";

interface Entry {
  readonly name: string;
  readonly request: {
    readonly requestClass: RequestClass;
    readonly planRank?: number;
  };
}

function createEntry(
  name: string,
  requestClass: RequestClass,
  planRank = 0,
): Entry {
  return { name, request: { requestClass, planRank } };
}

function takeAll(queue: ClassQueue<Entry>): string[] {
  const names: string[] = [];
  for (;;) {
    const entry = queue.tryTakeFirst({ isArchiveAllowed: true });
    if (entry === undefined) return names;
    names.push(entry.name);
  }
}

describe("ClassQueue", () => {
  describe("order", () => {
    it("follows the class, then the plan rank, then the arrival", () => {
      const queue = new ClassQueue<Entry>(10);
      queue.push(createEntry("archive", RequestClass.Archive, 9));
      queue.push(createEntry("read", RequestClass.LiveRead));
      queue.push(createEntry("low", RequestClass.Confirmation, 1));
      queue.push(createEntry("high", RequestClass.Confirmation, 2));
      queue.push(createEntry("high-later", RequestClass.Confirmation, 2));
      assert.equal(takeAll(queue), [
        "high",
        "high-later",
        "low",
        "read",
        "archive",
      ]);
    });

    it("holds archive entries back while they are not allowed", () => {
      const queue = new ClassQueue<Entry>(10);
      queue.push(createEntry("archive", RequestClass.Archive));
      assert.is(queue.tryTakeFirst({ isArchiveAllowed: false }), undefined);
      queue.push(createEntry("read", RequestClass.LiveRead));
      assert.is(queue.tryTakeFirst({ isArchiveAllowed: false })?.name, "read");
    });
  });

  describe("when full", () => {
    it("sheds the entry that would be served last", () => {
      const queue = new ClassQueue<Entry>(2);
      queue.push(createEntry("archive", RequestClass.Archive));
      queue.push(createEntry("read", RequestClass.LiveRead));
      const shed = queue.push(
        createEntry("confirm", RequestClass.Confirmation),
      );
      assert.is(shed?.name, "archive");
      const refused = queue.push(createEntry("late", RequestClass.LiveRead));
      assert.is(refused?.name, "late");
      assert.equal(takeAll(queue), ["confirm", "read"]);
    });
  });
});
