import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { LimitedSignal } from "./limited_signal.ts";

describe("LimitedSignal", () => {
  it("aborts after its timeout even if garbage is collected before", async () => {
    let abortedCount = 0;
    const parent = new AbortController();
    for (let i = 0; i < 200; i++) {
      const limit = new LimitedSignal({
        parents: [parent.signal],
        timeoutMs: 60,
      });
      limit.signal.addEventListener("abort", () => abortedCount += 1);
    }
    const garbage = Array.from(
      { length: 200 },
      () => new Array(10_000).fill(0),
    );
    assert.is(garbage.length, 200);
    await delay(150);
    assert.is(abortedCount, 200);
  });

  it("aborts when a parent aborts", () => {
    const parent = new AbortController();
    const { signal } = new LimitedSignal({ parents: [parent.signal] });
    parent.abort();
    assert.is(signal.aborted, true);
  });

  it("does not abort after it was disposed of", async () => {
    const parent = new AbortController();
    const limit = new LimitedSignal({
      parents: [parent.signal],
      timeoutMs: 10,
    });
    limit.dispose();
    parent.abort();
    await delay(20);
    assert.is(limit.signal.aborted, false);
  });
});
