/** Finds routes by host and path, and divides requests among services. */
import type { RandomSource } from "../../host/random_source.ts";
import type { Route } from "../../types/routing.ts";

/** The routes of one version, by host. */
export class RouteMatcher {
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #dividers = new Map<Route, WeightedDivider>();

  readonly #random: RandomSource;

  constructor(routes: readonly Route[], random: RandomSource) {
    this.#random = random;
    for (const route of routes) {
      const known = this.#routesByHost.get(route.host);
      if (known === undefined) this.#routesByHost.set(route.host, [route]);
      else known.push(route);
    }
    for (const known of this.#routesByHost.values()) {
      known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route with the longest prefix that begins the path. */
  tryMatch(host: string, path: string): Route | undefined {
    const name = removePort(host).toLowerCase();
    return this.#routesByHost.get(name)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** The service whose share of the route's requests is furthest behind. */
  chooseService(route: Route): string {
    let divider = this.#dividers.get(route);
    if (divider === undefined) {
      divider = new WeightedDivider(route, this.#random);
      this.#dividers.set(route, divider);
    }
    return divider.next();
  }
}

/** Smooth weighted round-robin. */
class WeightedDivider {
  readonly #targets: { service: string; weight: number; credit: number }[];
  readonly #totalWeight: number;

  constructor({ targets }: Route, random: RandomSource) {
    this.#totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
    // Daemons start at different points, so that together they keep the
    // weights also of routes with few requests.
    this.#targets = targets.map((target) => ({
      ...target,
      credit: random.nextFraction() * target.weight,
    }));
  }

  next(): string {
    let best = this.#targets[0]!;
    for (const target of this.#targets) {
      target.credit += target.weight;
      if (target.credit > best.credit) best = target;
    }
    best.credit -= this.#totalWeight;
    return best.service;
  }
}

function removePort(host: string): string {
  const colon = host.indexOf(":");
  return colon === -1 ? host : host.slice(0, colon);
}
