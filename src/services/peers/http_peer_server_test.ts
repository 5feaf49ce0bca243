import * as assert from "uvu/assert";
import { request } from "undici";
import { describe, it } from "../../testing/describe.ts";
import { LoopbackFleet, loopbackSecret } from "../../testing/loopback_fleet.ts";
import { CounterName } from "../metrics/metrics.ts";

const drainPath = "/skylarkridge.v1.OperatorService/DrainDaemon";

async function call(
  fleet: LoopbackFleet,
  path: string,
  headers: Readonly<Record<string, string>>,
) {
  const answer = await request(
    `http://127.0.0.1:${fleet.daemons[0]!.port()}${path}`,
    {
      method: "POST",
      body: "{}",
      headers: { "content-type": "application/json", ...headers },
    },
  );
  return { status: answer.statusCode, text: await answer.body.text() };
}

async function withFleet(
  body: (fleet: LoopbackFleet) => Promise<void>,
): Promise<void> {
  const fleet = new LoopbackFleet();
  await fleet.start(1);
  try {
    await body(fleet);
  } finally {
    await fleet.stop();
  }
}

describe("HttpPeerServer", () => {
  describe("a caller without valid credentials", () => {
    const invalidCredentials: readonly (readonly [
      title: string,
      headers: Readonly<Record<string, string>>,
    ])[] = [
      ["no secret", {}],
      ["a wrong secret", { authorization: "Bearer guess" }],
      ["the secret without a scheme", { authorization: loopbackSecret }],
    ];
    for (const [title, headers] of invalidCredentials) {
      it(`is refused and counted, and changes nothing (${title})`, () =>
        withFleet(async (fleet) => {
          const [daemon] = fleet.daemons;
          for (const path of [drainPath, "/forward"]) {
            const answer = await call(fleet, path, headers);
            assert.is(answer.status, 401);
            assert.is(JSON.parse(answer.text).code, "SR6002");
            assert.not.match(answer.text, /127\.0\.0\.1|daemon|secret-/);
          }
          const counters = daemon!.metrics.counters();
          assert.is(counters.get(CounterName.PeerUnauthorized), 2);
          assert.is(daemon!.lifecycle.state(), "ready");
        }));
    }
  });

  describe("a peer", () => {
    const authorization = `Bearer ${loopbackSecret}`;

    it("is served with the secret", () =>
      withFleet(async (fleet) => {
        const answer = await call(fleet, drainPath, { authorization });
        assert.is(answer.status, 200);
        assert.is(fleet.daemons[0]!.lifecycle.state(), "draining");
      }));

    it("may send a larger head than callers", () =>
      withFleet(async (fleet) => {
        const large = "x".repeat(40_000);
        const headers = { authorization, "x-large": large };
        const answer = await call(fleet, drainPath, headers);
        assert.is(answer.status, 200);
      }));
  });
});
