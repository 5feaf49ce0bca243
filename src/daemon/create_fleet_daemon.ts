/** Assembles the services of the daemon that runs on the platform. */
import { createPlatform } from "../../platform/create_platform.ts";
import { SystemRandomSource } from "../host/random_source.ts";
import { SystemClock } from "../host/system_clock.ts";
import { Kernel } from "../kernel/kernel.ts";
import { LearnedCapacities } from "../services/capacity/learned_capacities.ts";
import { FollowedDirectory } from "../services/directory/followed_directory.ts";
import { BalancedDispatch } from "../services/dispatch/balanced_dispatch.ts";
import { FollowedEvacuations } from "../services/evacuation/followed_evacuations.ts";
import { StoreTableFeed } from "../services/feeds/store_table_feed.ts";
import { HttpFleetLink } from "../services/fleet/http_fleet_link.ts";
import { HttpGateway } from "../services/gateway/http_gateway.ts";
import { FollowedKeySpace } from "../services/keyspace/followed_key_space.ts";
import { LeasedKeyGranter } from "../services/keyspace/leased_key_granter.ts";
import { LoadCounts } from "../services/keyspace/load_counts.ts";
import { BatchedLog } from "../services/log/batched_log.ts";
import type { Log } from "../services/log/log.ts";
import { MetricsListener } from "../services/metrics/metrics_listener.ts";
import { StatsdMetrics } from "../services/metrics/statsd_metrics.ts";
import { FollowedRouting } from "../services/routing/followed_routing.ts";
import { SharedColdServers } from "../services/warmup/shared_cold_servers.ts";
import type { FleetSettings } from "./fleet_settings.ts";

/** A connection is established within one round trip; the operating system retransmits a lost packet only after a second. */
const connectTimeoutMs = 300;
/** Shorter than the ten seconds or more after which backend servers close idle connections. */
const idleTimeoutMs = 4_000;

/** Creates a kernel with every service that the daemon runs, without starting them; logs to standard output by default. */
export function createFleetDaemon(
  settings: FleetSettings,
  log: Log = new BatchedLog({ daemonId: settings.daemonId }),
): Kernel {
  const clock = new SystemClock();
  const kernel = new Kernel()
    .register(clock)
    .register(new SystemRandomSource())
    .register(log)
    .register(
      new StatsdMetrics({ address: undefined, daemonId: settings.daemonId }),
    );
  if (settings.metricsAddress !== undefined) {
    kernel.register(new MetricsListener(settings.metricsAddress));
  }
  const platform = createPlatform({
    storeAddress: settings.storeAddress,
    connectTimeoutMs,
    idleTimeoutMs,
    nowMs: () => clock.nowMs(),
  });
  for (const service of platform) kernel.register(service);
  return kernel
    .register(new StoreTableFeed())
    .register(new FollowedRouting())
    .register(new FollowedEvacuations())
    .register(new FollowedDirectory())
    .register(
      new FollowedKeySpace({
        daemonId: settings.daemonId,
        coreCount: settings.coreCount,
        peerAddress: settings.advertisedPeerAddress,
      }),
    )
    .register(new SharedColdServers({ daemonId: settings.daemonId }))
    .register(
      new LeasedKeyGranter({
        peerAddress: settings.advertisedPeerAddress,
        isFirstStart: settings.isFirstStart,
      }),
    )
    .register(new LoadCounts())
    .register(new LearnedCapacities())
    .register(new HttpFleetLink(settings.peerAddress))
    .register(
      new BalancedDispatch({
        daemonId: settings.daemonId,
        zone: settings.zone,
        retryBounds: {
          windowMs: settings.retryWindowMs,
          ratio: settings.retryRatio,
          extraCount: settings.retryExtraCount,
        },
      }),
    )
    .register(
      new HttpGateway({
        callers: settings.callersAddress,
        readiness: settings.readinessAddress,
        graceMs: settings.graceMs,
      }),
    );
}
