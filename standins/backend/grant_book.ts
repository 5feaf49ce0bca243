/** The grants that a backend server stand-in holds. */
import type { BackendGrant } from "../../src/host/backend_transport.ts";

interface HeldGrant {
  readonly fence: number;
  readonly expiresAtMs: number;
}

/** The key and the shard that a request is for. */
interface RequestTarget {
  readonly service: string;
  readonly key: string;
  readonly shard: string;
}

/** Stores grants by shard and by key, each with the highest fence seen. */
export class GrantBook {
  readonly #grants = new Map<string, HeldGrant>();
  readonly #getNowMs: () => number;

  /** `getNowMs` reads the server's monotonic clock, in milliseconds. */
  constructor(getNowMs: () => number) {
    this.#getNowMs = getNowMs;
  }

  /** Stores a grant unless one of its shards or keys has a higher fence. */
  accept(grant: BackendGrant): boolean {
    const names = listScopeNames(grant);
    const isStale = names.some((name) =>
      (this.#grants.get(name)?.fence ?? 0) > grant.fence
    );
    if (isStale) return false;
    const expiresAtMs = this.#getNowMs() + grant.grantDurationMs;
    for (const name of names) {
      this.#grants.set(name, { fence: grant.fence, expiresAtMs });
    }
    return true;
  }

  /** Revokes a grant; grants with a higher fence remain. */
  revoke(grant: BackendGrant): void {
    for (const name of listScopeNames(grant)) {
      if ((this.#grants.get(name)?.fence ?? 0) > grant.fence) continue;
      this.#grants.set(name, { fence: grant.fence, expiresAtMs: 0 });
    }
  }

  /** Whether a request with this fence may be executed now. */
  allows(target: RequestTarget, fence: number): boolean {
    const { service, key, shard } = target;
    const grant = this.#selectGrant(
      this.#grants.get(`${service}/key/${key}`),
      this.#grants.get(`${service}/shard/${shard}`),
    );
    return grant !== undefined && grant.fence === fence &&
      this.#getNowMs() <= grant.expiresAtMs;
  }

  /**
   * Selects the grant to check: that of the key until it expires, and then that
   * of the shard, unless the key's grant has the higher fence.
   */
  #selectGrant(
    keyGrant: HeldGrant | undefined,
    shardGrant: HeldGrant | undefined,
  ): HeldGrant | undefined {
    if (keyGrant === undefined || shardGrant === undefined) {
      return keyGrant ?? shardGrant;
    }
    if (this.#getNowMs() <= keyGrant.expiresAtMs) return keyGrant;
    return keyGrant.fence > shardGrant.fence ? keyGrant : shardGrant;
  }
}

function listScopeNames(grant: BackendGrant): string[] {
  return [
    ...grant.shards.map((shard) => `${grant.service}/shard/${shard}`),
    ...grant.keys.map((key) => `${grant.service}/key/${key}`),
  ];
}
