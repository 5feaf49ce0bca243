/**
 * Checks that each key has at most one holder and that its fences rise, from
 * the grants that the backend servers themselves have accepted. Incarnations of
 * one server are different holders.
 */
import type { KeyGrant } from "../host/server_link.ts";
import type { FakeKeyServer } from "./fake_key_servers.ts";

/** Checks each accepted grant against all servers. */
export class HoldMonitor {
  readonly violations: string[] = [];
  readonly #servers: () => Iterable<FakeKeyServer>;
  readonly #highestFence = new Map<number, number>();
  readonly #lastHolder = new Map<number, string>();
  /** The incarnation that accepted a fence, by the server's id and the fence. */
  readonly #incarnationOfFence = new Map<string, string>();

  constructor(servers: () => Iterable<FakeKeyServer>) {
    this.#servers = servers;
  }

  /** The servers that hold a key. */
  holdersOf(key: number, nowMs: number): FakeKeyServer[] {
    return [...this.#servers()].filter((server) => server.holds(key, nowMs));
  }

  /** Checks the keys of a grant that a server has just accepted. */
  checkGrant(server: FakeKeyServer, grant: KeyGrant, nowMs: number): void {
    const { fence } = grant;
    const idAndFence = `${server.entry.id} ${fence}`;
    const incarnation = this.#incarnationOfFence.get(idAndFence) ?? server.name;
    this.#incarnationOfFence.set(idAndFence, incarnation);
    if (incarnation !== server.name) {
      this.violations.push(
        `${nowMs}: ${server.name} and ${incarnation} both have fence ${fence}`,
      );
    }
    for (const key of server.keysOf(grant)) {
      this.#checkKey(server, { key, fence: grant.fence, nowMs });
    }
  }

  #checkKey(
    server: FakeKeyServer,
    { key, fence, nowMs }: {
      readonly key: number;
      readonly fence: number;
      readonly nowMs: number;
    },
  ): void {
    const holders = this.holdersOf(key, nowMs);
    if (holders.length > 1) {
      const names = holders.map(({ name }) => name).join(", ");
      this.violations.push(`${nowMs}: key ${key} is held by ${names}`);
    }
    const highest = this.#highestFence.get(key) ?? -1;
    const isNewHolder = this.#lastHolder.get(key) !== server.name;
    if (isNewHolder && fence <= highest) {
      this.violations.push(
        `${nowMs}: key ${key} went to ${server.name} with fence ${fence}, not above ${highest} of ${
          this.#lastHolder.get(key)
        }`,
      );
    }
    this.#highestFence.set(key, Math.max(highest, fence));
    this.#lastHolder.set(key, server.name);
  }
}
