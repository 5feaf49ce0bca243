/** Assembles the services of one daemon, without starting them. */
import { XxhashKeyHasher } from "../hashing/key_hasher.ts";
import { HttpBackendTransport } from "../services/backend/http_backend_transport.ts";
import {
  HttpObjectStore,
  HttpPlatformClient,
  HttpPlatformTable,
  HttpVmDirectory,
} from "../host/http_platform.ts";
import { SystemRandomSource } from "../host/random_source.ts";
import { SystemClock } from "../host/system_clock.ts";
import { Kernel } from "../kernel/kernel.ts";
import type { AllowanceSharing } from "../services/admission/allowance_sharing.ts";
import { DemandLeases } from "../services/admission/home_sharing.ts";
import { SharedAdmission } from "../services/admission/shared_admission.ts";
import { RetryingDelivery } from "../services/delivery/retrying_delivery.ts";
import { HttpEntry } from "../services/entry/http_entry.ts";
import { SlotHome } from "../services/home/slot_home.ts";
import { StoredLists } from "../services/lists/stored_lists.ts";
import { DaemonLifecycle } from "../services/lifecycle/daemon_lifecycle.ts";
import { ConsolaLog } from "../services/log/consola_log.ts";
import { SyncedMembership } from "../services/membership/synced_membership.ts";
import { StatsdMetrics } from "../services/metrics/statsd_metrics.ts";
import { ConnectOperator } from "../services/operator/connect_operator.ts";
import { CoordinatedOwnership } from "../services/ownership/coordinated_ownership.ts";
import type { Placement } from "../services/ownership/placement.ts";
import { MinimumMovePlacement } from "../services/ownership/placement_minimum_move.ts";
import { AdmittingPipeline } from "../services/pipeline/admitting_pipeline.ts";
import { HttpPeerServer } from "../services/peers/http_peer_server.ts";
import { HttpPeerTransport } from "../services/peers/http_peer_transport.ts";
import type { Settings } from "./settings_schema.ts";

const connectTimeoutMs = 500;
const peerCallTimeoutMs = 1_000;
const connectionsPerPeer = 64;

/** Creates a kernel with every service that a daemon runs; the caller starts it. */
export function createDaemon(settings: Settings): Kernel {
  const kernel = new Kernel();
  registerHostServices(kernel, settings);
  registerDecisionServices(kernel, settings);
  registerFrontEnds(kernel, settings);
  return kernel;
}

function registerHostServices(kernel: Kernel, settings: Settings): void {
  const platform = new HttpPlatformClient({
    address: settings.platformAddress,
    timeoutMs: settings.platformTimeoutMs,
  });
  kernel
    .register(new SystemClock())
    .register(new SystemRandomSource())
    .register(new XxhashKeyHasher())
    .register(
      new ConsolaLog({
        format: settings.logFormat,
        daemonId: settings.daemonId,
      }),
    )
    .register(
      new StatsdMetrics({
        address: settings.statsdAddress,
        daemonId: settings.daemonId,
      }),
    )
    .register(new HttpPlatformTable(platform))
    .register(new HttpObjectStore(platform))
    .register(
      new HttpVmDirectory(platform, {
        pollIntervalMs: settings.vmPollIntervalMs,
      }),
    )
    .register(
      new HttpPeerTransport({
        secret: settings.peerSecret,
        connectionsPerPeer,
        connectTimeoutMs,
        callTimeoutMs: peerCallTimeoutMs,
      }),
    )
    .register(
      new HttpBackendTransport({
        connectTimeoutMs,
        connectionsPerServer: getMaxSlotsPerServer(settings),
      }),
    );
}

/** The settings of the services that `registerDecisionServices` registers. */
export interface DecisionSettings extends
  Pick<
    Settings,
    | "daemonId"
    | "region"
    | "dataCentre"
    | "peerAddress"
    | "services"
    | "permitDurationMs"
    | "leaseDurationMs"
    | "ownershipIntervalMs"
  > {
  /** Decides which server owns which shard; defaults to `MinimumMovePlacement`. */
  readonly placement?: Placement;
}

/**
 * Registers the services that make decisions. They access their environment
 * only through the host services, so that tests can run them on virtual time.
 */
export function registerDecisionServices(
  kernel: Kernel,
  settings: DecisionSettings,
  sharing: AllowanceSharing = new DemandLeases(),
): void {
  kernel
    .register(
      new SyncedMembership({
        daemonId: settings.daemonId,
        address: settings.peerAddress,
        dataCentre: settings.dataCentre,
      }),
    )
    .register(
      new CoordinatedOwnership({
        region: settings.region,
        definitions: settings.services,
        placement: settings.placement ?? new MinimumMovePlacement(),
        syncIntervalMs: settings.ownershipIntervalMs,
        permitDurationMs: settings.permitDurationMs,
        leaseDurationMs: settings.leaseDurationMs,
      }),
    )
    .register(new SlotHome())
    .register(new RetryingDelivery())
    .register(new StoredLists())
    .register(new SharedAdmission(sharing))
    .register(new AdmittingPipeline());
}

function registerFrontEnds(kernel: Kernel, settings: Settings): void {
  kernel
    .register(
      new HttpPeerServer({
        ...parseAddress(settings.peerAddress),
        secret: settings.peerSecret,
        maxHeaderBytes: settings.maxHeaderBytes,
        maxBodyBytes: settings.maxBodyBytes,
        drainTimeoutMs: settings.drainTimeoutMs,
      }),
    )
    .register(new DaemonLifecycle())
    .register(new ConnectOperator())
    .register(
      new HttpEntry({ ...settings, ...parseAddress(settings.entryAddress) }),
    );
}

/** Connections for requests to one backend server: one for each slot, for the service with the most slots. */
function getMaxSlotsPerServer(settings: Settings): number {
  return Math.max(...settings.services.map((s) => s.slotsPerServer));
}

function parseAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const portIndex = address.lastIndexOf(":");
  const host = address.slice(0, portIndex).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(portIndex + 1)) };
}
