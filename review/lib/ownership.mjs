/** Checks of OWNER, from what the stand-ins of the upstreams see. */

/** Two upstreams may hold the same keys for this time. */
const sharedHoldMs = 500;

/** Notes each key that is granted while another upstream is at work on it. */
export function checkGrant(upstream, upstreams, { grant, breaches }) {
  const nowMs = performance.now();
  for (const other of upstreams) {
    if (other === upstream || other.isCrashed) continue;
    for (const [id, key] of other.running) {
      if (key < grant.from || grant.to < key) continue;
      const holdLeftMs = Math.round(other.grantEndOf(key) - nowMs);
      if (holdLeftMs <= 0) continue;
      breaches.push({
        what: "given a key on which another upstream is at work",
        key,
        given: upstream.name,
        fence: grant.fence,
        atWork: other.name,
        id,
        holdLeftMs,
      });
    }
  }
}

/** Notes pairs of upstreams that hold the same keys for too long. */
export class SharedHolds {
  #sinceMs = new Map();

  sample(upstreams, breaches) {
    const nowMs = performance.now();
    const seen = new Set();
    const holds = upstreams.flatMap((upstream) =>
      upstream.holds.filter(({ endsAtMs }) => nowMs < endsAtMs)
        .map((hold) => ({ ...hold, name: upstream.name }))
    ).sort((a, b) => a.from - b.from);
    let widest;
    for (const hold of holds) {
      if (widest !== undefined && hold.from <= widest.to) {
        if (hold.name !== widest.name) {
          const pair = `${widest.name} ${hold.name} ${hold.from}`;
          seen.add(pair);
          const sinceMs = this.#sinceMs.get(pair) ?? nowMs;
          this.#sinceMs.set(pair, sinceMs);
          if (nowMs - sinceMs > sharedHoldMs) {
            breaches.push({ what: "two upstreams hold the same keys", pair });
            this.#sinceMs.set(pair, Infinity);
          }
        }
        if (hold.to < widest.to) continue;
      }
      widest = hold;
    }
    for (const pair of this.#sinceMs.keys()) {
      if (!seen.has(pair)) this.#sinceMs.delete(pair);
    }
  }
}
