/** The grants that a backend server stand-in holds. */
import type { BackendGrant } from "../../src/host/backend_transport.ts";

interface HeldGrant {
  readonly fence: number;
  readonly expiresAtMs: number;
}

/** Names the parts that a grant or a request is about. */
interface GrantedPart {
  readonly service: string;
  readonly key: string;
  readonly shard: string;
}

/** Grants by shard and by key, each with the highest fence seen. */
export class GrantBook {
  readonly #grants = new Map<string, HeldGrant>();

  /** Takes a grant unless a higher fence is known for one of its parts. */
  accept(grant: BackendGrant): boolean {
    const names = listNames(grant);
    const isStale = names.some((name) =>
      (this.#grants.get(name)?.fence ?? 0) > grant.fence
    );
    if (isStale) return false;
    const expiresAtMs = performance.now() + grant.grantDurationMs;
    for (const name of names) {
      this.#grants.set(name, { fence: grant.fence, expiresAtMs });
    }
    return true;
  }

  /** Withdraws a grant. */
  revoke(grant: BackendGrant): void {
    for (const name of listNames(grant)) {
      this.#grants.set(name, { fence: grant.fence, expiresAtMs: 0 });
    }
  }

  /** Whether a request with this fence may run now. */
  allows(part: GrantedPart, fence: number): boolean {
    const { service, key, shard } = part;
    const grant = this.#selectGrant(
      this.#grants.get(`${service}/key/${key}`),
      this.#grants.get(`${service}/shard/${shard}`),
    );
    return grant !== undefined && grant.fence === fence &&
      performance.now() <= grant.expiresAtMs;
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
    if (performance.now() <= keyGrant.expiresAtMs) return keyGrant;
    return keyGrant.fence > shardGrant.fence ? keyGrant : shardGrant;
  }
}

function listNames(grant: BackendGrant): string[] {
  return [
    ...grant.shards.map((shard) => `${grant.service}/shard/${shard}`),
    ...grant.keys.map((key) => `${grant.service}/key/${key}`),
  ];
}
