import * as assert from "uvu/assert";
import { SeededRandomSource } from "../../host/random_source.ts";
import { describe, it } from "../../testing/describe.ts";
import { RequestKind, type Route } from "../../types/routing.ts";
import { RouteMatcher } from "./route_matcher.ts";

function createRoute(
  host: string,
  pathPrefix: string,
  weights: readonly number[] = [1],
): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: RequestKind.Idempotent,
    timeoutMs: 1_000,
    objectiveMs: 300,
    priority: 1,
    maxAttempts: 2,
    targets: weights.map((weight, i) => ({ service: `s${i}`, weight })),
  };
}

function createMatcher(routes: readonly Route[]): RouteMatcher {
  return new RouteMatcher(routes, new SeededRandomSource(3));
}

describe("RouteMatcher", () => {
  describe("tryMatch", () => {
    const matcher = createMatcher([
      createRoute("a.example", "/"),
      createRoute("a.example", "/x/"),
      createRoute("a.example", "/x/y/"),
      createRoute("b.example", "/z/"),
    ]);

    it("finds the route with the longest prefix", () => {
      const find = (path: string) => matcher.tryMatch("a.example", path);
      assert.is(find("/x/y/1")?.pathPrefix, "/x/y/");
      assert.is(find("/x/1")?.pathPrefix, "/x/");
      assert.is(find("/other")?.pathPrefix, "/");
    });

    it("ignores the port and the case of the host", () => {
      assert.ok(matcher.tryMatch("B.Example:8080", "/z/1"));
    });

    it("finds no route for another host or prefix", () => {
      assert.is(matcher.tryMatch("b.example", "/x/1"), undefined);
      assert.is(matcher.tryMatch("c.example", "/z/1"), undefined);
      assert.is(matcher.tryMatch("b.example", "/z"), undefined);
    });
  });

  describe("chooseService", () => {
    it("keeps to the weights within thirty requests", () => {
      const route = createRoute("a.example", "/", [70, 20, 10]);
      const matcher = createMatcher([route]);
      const counts = new Map<string, number>();
      for (let i = 0; i < 30; i++) {
        const service = matcher.chooseService(route);
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
      assert.ok(Math.abs(counts.get("s0")! - 21) <= 1);
      assert.ok(Math.abs(counts.get("s1")! - 6) <= 1);
      assert.ok(Math.abs(counts.get("s2")! - 3) <= 1);
    });

    it("never chooses a service whose weight is zero", () => {
      const route = createRoute("a.example", "/", [1, 0]);
      const matcher = createMatcher([route]);
      for (let i = 0; i < 20; i++) {
        assert.is(matcher.chooseService(route), "s0");
      }
    });
  });
});
