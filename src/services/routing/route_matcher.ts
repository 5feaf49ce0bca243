/** Finds routes by host and path, and divides a route's requests among its services. */
import type { RandomSource } from "../../host/random_source.ts";
import type { Route } from "../../types/routing.ts";

/** The routes of one version of the configuration, by host. */
export class RouteMatcher {
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #dividers = new Map<Route, WeightedDivider>();

  readonly #random: RandomSource;

  constructor(routes: readonly Route[], random: RandomSource) {
    this.#random = random;
    for (const route of routes) {
      const hostRoutes = this.#routesByHost.get(route.host);
      if (hostRoutes === undefined) this.#routesByHost.set(route.host, [route]);
      else hostRoutes.push(route);
    }
    for (const hostRoutes of this.#routesByHost.values()) {
      hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route of the host whose path prefix is the longest that matches. */
  tryMatch(host: string, path: string): Route | undefined {
    const name = removePort(host).toLowerCase();
    return this.#routesByHost.get(name)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** The service that is furthest below its share of the route's requests. */
  chooseService(route: Route): string {
    let divider = this.#dividers.get(route);
    if (divider === undefined) {
      divider = new WeightedDivider(route, this.#random);
      this.#dividers.set(route, divider);
    }
    return divider.next();
  }
}

/** Divides requests among the targets of one route by smooth weighted round-robin. */
class WeightedDivider {
  readonly #targets: { service: string; weight: number; credit: number }[];
  readonly #totalWeight: number;

  constructor({ targets }: Route, random: RandomSource) {
    this.#totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
    // Daemons start with different credits, so that the fleet as a whole keeps
    // to the weights of routes with few requests too.
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
