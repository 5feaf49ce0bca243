/**
 * Fake backend servers of one sharded service, in memory. They check fences,
 * expire holds by a clock of their own that runs slow, and can accept grants
 * late. A hold monitor records every key with two holders.
 */
import type { Clock } from "../host/clock.ts";
import {
  type HealthCheckResult,
  KeyCommandEnding,
  type KeyCommandOptions,
  type KeyCommandResult,
  type KeyGrant,
  SendEnding,
  type SendResult,
  ServerLink,
} from "../host/server_link.ts";
import {
  incarnationOf,
  type KeyInterval,
  type ServerEntry,
} from "../types/routing.ts";
import { HoldMonitor } from "./hold_monitor.ts";

const latencyMs = 1;
/** The tracked keys: one in 256, enough to have some in every range. */
const sampledKeys = Array.from({ length: 256 }, (_, i) => i * 256 + 7);

/** The kinds of key commands. */
export enum KeyCommand {
  Grant = "grant",
  Release = "release",
}

interface HeldKey {
  fence: number;
  expiresAtMs: number;
}

/** The holds of one server. */
export class FakeKeyServer {
  readonly entry: ServerEntry;
  isUp = true;
  /** Key commands do not arrive, although the server runs. */
  isCutOff = false;
  readonly held = new Map<number, HeldKey>();
  readonly #seenFences = new Map<number, number>();
  readonly #keys: readonly number[];

  /** `keys` are the keys whose holds are tracked. */
  constructor(entry: ServerEntry, keys: readonly number[] = sampledKeys) {
    this.entry = entry;
    this.#keys = keys;
  }

  /** Identifies the server's incarnation, not only the server. */
  get name(): string {
    return incarnationOf(this.entry);
  }

  /**
   * Accepts a grant unless a higher fence was seen. The hold ends at
   * `expiresAtMs`, which is counted from the arrival of the grant.
   */
  accept(grant: KeyGrant, expiresAtMs: number): boolean {
    const keys = this.keysOf(grant);
    const isStale = keys.some((key) =>
      (this.#seenFences.get(key) ?? 0) > grant.fence
    );
    if (isStale) return false;
    for (const key of keys) {
      this.#seenFences.set(key, grant.fence);
      this.held.set(key, { fence: grant.fence, expiresAtMs });
    }
    return true;
  }

  /** Releases the keys of an interval; never refused. Requests of these keys run until `endsAtMs`. */
  release(
    interval: KeyInterval,
    { nowMs, endsAtMs }: { readonly nowMs: number; readonly endsAtMs: number },
  ): void {
    for (const key of this.keysOf(interval)) {
      const held = this.held.get(key);
      if (held === undefined) continue;
      held.expiresAtMs = Math.min(held.expiresAtMs, endsAtMs);
      if (held.expiresAtMs <= nowMs) this.held.delete(key);
    }
  }

  /** The tracked keys of an interval. */
  keysOf({ first, last }: KeyInterval): number[] {
    return this.#keys.filter((key) => first <= key && key <= last);
  }

  /** Whether the server would execute a request of the key. */
  holds(key: number, nowMs: number): boolean {
    return this.isUp && (this.held.get(key)?.expiresAtMs ?? -Infinity) > nowMs;
  }
}

/** All servers of one test. */
export class FakeKeyServers {
  readonly servers = new Map<string, FakeKeyServer>();
  /** Fraction of the grants that get no answer and are accepted late. */
  lateGrantFraction = 0;
  /** What every server answers to health checks. */
  health: HealthCheckResult = { isHealthy: false };
  /** Time for which requests of released keys still run. */
  runningMs = 0;
  /** Time to connect for a command to an incarnation; whether it may be sent is asked afterwards. */
  connectMsOf: (server: ServerEntry, command: KeyCommand) => number = () => 0;
  /** Number of commands for which a connection is being established. */
  connectingCount = 0;
  grantCount = 0;
  readonly #clock: Clock;
  readonly #nextFraction: () => number;
  readonly #monitor = new HoldMonitor(() => this.servers.values());

  constructor(clock: Clock, nextFraction: () => number) {
    this.#clock = clock;
    this.#nextFraction = nextFraction;
  }

  /** The violations that the hold monitor found. */
  get violations(): readonly string[] {
    return this.#monitor.violations;
  }

  /** Starts a server at the address of its entry. */
  add(entry: ServerEntry): FakeKeyServer {
    // A server that had the address before has ended.
    const previous = this.servers.get(entry.address);
    if (previous !== undefined) previous.isUp = false;
    const server = new FakeKeyServer(entry);
    this.servers.set(entry.address, server);
    return server;
  }

  /** Resolves when a connection for a command to an incarnation is established. */
  async connect(server: ServerEntry, command: KeyCommand): Promise<void> {
    const connectMs = this.connectMsOf(server, command);
    if (connectMs === 0) return;
    this.connectingCount += 1;
    await this.#clock.sleep(connectMs);
    this.connectingCount -= 1;
  }

  /** Sends a grant to the server at an address. */
  async grant(address: string, grant: KeyGrant): Promise<KeyCommandResult> {
    const server = this.servers.get(address);
    if (server === undefined || !server.isUp) {
      return { ending: KeyCommandEnding.Refused, detail: "connection refused" };
    }
    if (server.isCutOff) {
      return { ending: KeyCommandEnding.Refused, detail: "connect timed out" };
    }
    this.grantCount += 1;
    // The server's clock runs 2% slow, so that the hold lasts longer.
    const expiresAtMs = this.#clock.nowMs() + grant.holdMs * 1.02;
    if (this.#nextFraction() < this.lateGrantFraction) {
      const lateMs = 2_000 + 8_000 * this.#nextFraction();
      this.#clock.after(lateMs, () => this.#accept(server, grant, expiresAtMs));
      return { ending: KeyCommandEnding.Unknown, detail: "no answer" };
    }
    const isAccepted = this.#accept(server, grant, expiresAtMs);
    await this.#clock.sleep(latencyMs);
    return {
      ending: isAccepted ? KeyCommandEnding.Accepted : KeyCommandEnding.Fenced,
    };
  }

  /** Sends a release to the server at an address. */
  async release(
    address: string,
    interval: KeyInterval,
  ): Promise<KeyCommandResult> {
    const server = this.servers.get(address);
    if (server === undefined || !server.isUp || server.isCutOff) {
      return { ending: KeyCommandEnding.Refused, detail: "out of reach" };
    }
    const nowMs = this.#clock.nowMs();
    server.release(interval, { nowMs, endsAtMs: nowMs + this.runningMs });
    await this.#clock.sleep(latencyMs + this.runningMs);
    return {
      ending: KeyCommandEnding.Accepted,
      handoverToken: `token-${interval.first}`,
    };
  }

  /** The servers that hold a key now. */
  holdersOf(key: number): FakeKeyServer[] {
    return this.#monitor.holdersOf(key, this.#clock.nowMs());
  }

  /** Fraction of the tracked keys that have a holder. */
  heldFraction(): number {
    const heldCount = sampledKeys
      .filter((key) => this.holdersOf(key).length > 0).length;
    return heldCount / sampledKeys.length;
  }

  #accept(
    server: FakeKeyServer,
    grant: KeyGrant,
    expiresAtMs: number,
  ): boolean {
    if (!server.isUp || !server.accept(grant, expiresAtMs)) return false;
    // A grant that arrives after the end of its hold has no effect.
    const nowMs = this.#clock.nowMs();
    if (expiresAtMs > nowMs) this.#monitor.checkGrant(server, grant, nowMs);
    return true;
  }
}

/** One daemon's link to the servers. */
export class FakeServerLink extends ServerLink {
  readonly #servers: FakeKeyServers;

  constructor(servers: FakeKeyServers) {
    super();
    this.#servers = servers;
  }

  override send(): Promise<SendResult> {
    return Promise.resolve({ ending: SendEnding.NotConnected });
  }

  override async grant(
    server: ServerEntry,
    grant: KeyGrant,
    options: KeyCommandOptions,
  ): Promise<KeyCommandResult> {
    await this.#servers.connect(server, KeyCommand.Grant);
    if (!options.mayStillSend()) {
      return { ending: KeyCommandEnding.Refused, detail: "no longer allowed" };
    }
    return await this.#servers.grant(server.address, grant);
  }

  override async release(
    server: ServerEntry,
    interval: KeyInterval & { readonly fence: number },
    options: KeyCommandOptions,
  ): Promise<KeyCommandResult> {
    await this.#servers.connect(server, KeyCommand.Release);
    if (!options.mayStillSend()) {
      return { ending: KeyCommandEnding.Refused, detail: "no longer allowed" };
    }
    return await this.#servers.release(server.address, interval);
  }

  override checkHealth(): Promise<HealthCheckResult> {
    return Promise.resolve(this.#servers.health);
  }
}
