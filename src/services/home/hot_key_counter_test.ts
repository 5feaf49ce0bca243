import * as assert from "uvu/assert";
import { SeededRandomSource } from "../../host/random_source.ts";
import { describe, it } from "../../testing/describe.ts";
import { HotKeyCounter } from "./hot_key_counter.ts";

describe("HotKeyCounter", () => {
  describe("with more keys than counters", () => {
    it("finds the hot key and does not overestimate the others", () => {
      const random = new SeededRandomSource(7);
      const counter = new HotKeyCounter(64);
      for (let count = 0; count < 10_000; count++) {
        counter.add(random.nextFraction() < 0.2 ? "hot" : random.nextId());
      }
      const [first, second] = counter.takeTop(2, 1_000);
      assert.is(first?.key, "hot");
      assert.ok(first!.requestsPerSecond > 1_700);
      assert.ok(first!.requestsPerSecond <= 2_100);
      assert.ok(second!.requestsPerSecond < 10);
      assert.equal(counter.takeTop(2, 1_000), []);
    });
  });
});
