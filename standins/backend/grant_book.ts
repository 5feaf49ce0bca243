/** The grants that a backend server stand-in holds. */
import type { BackendGrant } from "../../src/host/backend_transport.ts";

interface HeldGrant {
  readonly fence: number;
  readonly expiresAtMs: number;
}

/** Names the parts that a grant or a request is about. */
interface RequestTarget {
  readonly service: string;
  readonly key: string;
  readonly shard: string;
}

/** Grants by shard and by key, each with the highest fence seen. */
export class GrantBook {
  readonly #grants = new Map<string, HeldGrant>();
  readonly #getNowMs: () => number;

  /** `getNowMs` reads the server's monotonic clock, in milliseconds. */
  constructor(getNowMs: () => number) {
    this.#getNowMs = getNowMs;
  }

  /** Takes a grant unless a higher fence is known for one of its parts. */
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

  /** Withdraws a grant; a higher fence stays. */
  revoke(grant: BackendGrant): void {
    for (const name of listScopeNames(grant)) {
      if ((this.#grants.get(name)?.fence ?? 0) > grant.fence) continue;
      this.#grants.set(name, { fence: grant.fence, expiresAtMs: 0 });
    }
  }

  /** Whether a request with this fence may run now. */
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
   * The grant that decides: the key's own while it lasts, and afterwards its
   * shard's, unless that is the older of the two.
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
