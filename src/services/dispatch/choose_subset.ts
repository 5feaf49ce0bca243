/**
 * Selects the subset of a service's servers that a daemon uses. In a large
 * fleet, a daemon that used all servers would send to each so rarely that it
 * had no current estimate of its load and no open connection to it. The
 * selection does no I/O.
 */
import { hashFraction } from "../../hashing/hash_fraction.ts";
import type { ServerEntry } from "../../types/routing.ts";

/**
 * Daemons that use one server, on average. The number is high enough that the
 * callers of a single daemon cannot overload a server.
 */
const daemonsPerServer = 10;
/** Size of the smallest subset; the loss of a few servers could empty a smaller subset. */
const minSubsetSize = 6;
/** Weight of servers of the daemon's own zone, since traffic between zones is expensive. */
const ownZoneWeight = 4;

/**
 * Selects the subset by rendezvous hashing, so that it changes little when
 * servers join or leave.
 */
export function chooseSubset(
  servers: readonly ServerEntry[],
  options: {
    readonly daemonId: string;
    readonly daemonCount: number;
    readonly zone: string;
  },
): readonly ServerEntry[] {
  const { daemonId, daemonCount, zone } = options;
  const size = Math.max(
    minSubsetSize,
    Math.ceil(servers.length * daemonsPerServer / daemonCount),
  );
  if (size >= servers.length) return servers;
  const weighted = servers.map((server) => {
    const weight = server.zone === zone ? ownZoneWeight : 1;
    // With the logarithm, the probability of each server is proportional to its
    // weight (weighted rendezvous hashing).
    const score = -Math.log(hashFraction(`${daemonId}/${server.id}`)) / weight;
    return { server, score };
  });
  weighted.sort((a, b) => a.score - b.score);
  return weighted.slice(0, size).map(({ server }) => server);
}
