import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { RequestKind, type Route } from "../../types/routing.ts";
import {
  type ChoiceContext,
  isFull,
  type ServerCandidate,
} from "./choose_server.ts";
import { ServerStatistics } from "./server_statistics.ts";

const route: Route = {
  name: "reads",
  host: "app.example",
  pathPrefix: "/",
  kind: RequestKind.Idempotent,
  timeoutMs: 1_500,
  objectiveMs: 800,
  priority: 1,
  maxAttempts: 2,
  targets: [{ service: "roster", weight: 1 }],
};
const context: ChoiceContext = {
  route,
  zone: "a",
  nowMs: 0,
  maxInFlight: 50,
  daemonCount: 3,
  hasMoreUrgentRoute: false,
};

function createCandidate(inFlightCount: number): ServerCandidate {
  const statistics = new ServerStatistics();
  statistics.inFlightCount = inFlightCount;
  const server = {
    id: "i-1",
    bornAtMs: 1,
    service: "roster",
    address: "10.0.0.1:80",
    zone: "a",
    slotCount: 3,
    isDraining: false,
  };
  return { server, statistics };
}

describe("isFull", () => {
  it("lets one daemon of a small fleet fill the queue of a server", () => {
    assert.is(isFull(createCandidate(8), context), false);
    assert.is(isFull(createCandidate(9), context), true);
  });

  it("reserves capacity for the other daemons of a large fleet", () => {
    const large = { ...context, daemonCount: 90 };
    assert.is(isFull(createCandidate(1), large), false);
    assert.is(isFull(createCandidate(2), large), true);
  });

  it("limits in-flight requests to the connections allowed to the daemon", () => {
    assert.is(isFull(createCandidate(2), { ...context, maxInFlight: 2 }), true);
  });
});
