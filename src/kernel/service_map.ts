/** Maps each service name to the abstract class that the kernel hands out. */
import type { KeyHasher } from "../hashing/key_hasher.ts";
import type { BackendTransport } from "../host/backend_transport.ts";
import type { Clock } from "../host/clock.ts";
import type { ObjectStore } from "../host/object_store.ts";
import type { PeerTransport } from "../host/peer_transport.ts";
import type { PlatformTable } from "../host/platform_table.ts";
import type { RandomSource } from "../host/random_source.ts";
import type { VmDirectory } from "../host/vm_directory.ts";
import type { Admission } from "../services/admission/admission.ts";
import type { Delivery } from "../services/delivery/delivery.ts";
import type { Entry } from "../services/entry/entry.ts";
import type { Home } from "../services/home/home.ts";
import type { Lifecycle } from "../services/lifecycle/lifecycle.ts";
import type { Lists } from "../services/lists/lists.ts";
import type { Log } from "../services/log/log.ts";
import type { Membership } from "../services/membership/membership.ts";
import type { Metrics } from "../services/metrics/metrics.ts";
import type { Operator } from "../services/operator/operator.ts";
import type { Ownership } from "../services/ownership/ownership.ts";
import type { PeerServer } from "../services/peers/peer_server.ts";
import type { RequestPipeline } from "../services/pipeline/request_pipeline.ts";
import type { ServiceName } from "./service_name.ts";

/** The type behind each service name. */
export interface ServiceMap {
  [ServiceName.Clock]: Clock;
  [ServiceName.Random]: RandomSource;
  [ServiceName.KeyHasher]: KeyHasher;
  [ServiceName.Log]: Log;
  [ServiceName.Metrics]: Metrics;
  [ServiceName.PlatformTable]: PlatformTable;
  [ServiceName.ObjectStore]: ObjectStore;
  [ServiceName.VmDirectory]: VmDirectory;
  [ServiceName.PeerServer]: PeerServer;
  [ServiceName.PeerTransport]: PeerTransport;
  [ServiceName.BackendTransport]: BackendTransport;
  [ServiceName.Membership]: Membership;
  [ServiceName.Ownership]: Ownership;
  [ServiceName.Lists]: Lists;
  [ServiceName.Admission]: Admission;
  [ServiceName.Home]: Home;
  [ServiceName.Delivery]: Delivery;
  [ServiceName.RequestPipeline]: RequestPipeline;
  [ServiceName.Lifecycle]: Lifecycle;
  [ServiceName.Entry]: Entry;
  [ServiceName.Operator]: Operator;
}
