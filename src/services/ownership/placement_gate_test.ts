import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  maxCommitDurationMs,
  PlacementGate,
  rebalanceIntervalMs,
  rebalanceSettleMs,
} from "./placement_gate.ts";

describe("PlacementGate", () => {
  function createSettledGate(): PlacementGate {
    const gate = new PlacementGate(0);
    gate.evaluate(0, "a,b");
    return gate;
  }

  it("plans a rebalance at a fixed interval", () => {
    const gate = createSettledGate();
    assert.not.ok(gate.isPlanDue(rebalanceIntervalMs - 1));
    assert.ok(gate.isPlanDue(rebalanceIntervalMs));
  });

  it("allows moves once the servers and daemons are unchanged long enough", () => {
    const gate = createSettledGate();
    assert.not.ok(gate.evaluate(rebalanceSettleMs - 1, "a,b"));
    assert.ok(gate.evaluate(rebalanceSettleMs, "a,b"));
  });

  it("blocks moves again after a change of a server or daemon", () => {
    const gate = createSettledGate();
    assert.not.ok(gate.evaluate(rebalanceSettleMs, "a"));
    assert.not.ok(gate.evaluate(2 * rebalanceSettleMs - 1, "a"));
    assert.ok(gate.evaluate(2 * rebalanceSettleMs, "a"));
  });

  it("blocks moves while commits are slow", () => {
    const gate = createSettledGate();
    gate.recordCommitDuration(maxCommitDurationMs + 1);
    assert.not.ok(gate.evaluate(rebalanceSettleMs, "a,b"));
    gate.recordCommitDuration(maxCommitDurationMs);
    assert.ok(gate.evaluate(rebalanceSettleMs, "a,b"));
  });
});
