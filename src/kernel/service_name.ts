/**
 * The names under which services register with the kernel and find each
 * other. A service never imports another service's implementation; it looks
 * the name up in the kernel and receives an instance of the abstract class.
 */

/** The services of a daemon. */
export enum ServiceName {
  Clock = "clock",
  Random = "random",
  KeyHasher = "key-hasher",
  Log = "log",
  Metrics = "metrics",
  PlatformTable = "platform-table",
  ObjectStore = "object-store",
  VmDirectory = "vm-directory",
  PeerServer = "peer-server",
  PeerTransport = "peer-transport",
  BackendTransport = "backend-transport",
  Membership = "membership",
  Ownership = "ownership",
  Lists = "lists",
  Admission = "admission",
  Home = "home",
  Delivery = "delivery",
  RequestPipeline = "request-pipeline",
  Lifecycle = "lifecycle",
  Entry = "entry",
  Operator = "operator",
  RowStore = "row-store",
  ControlTables = "control-tables",
  ServerLink = "server-link",
  CallerProtocol = "caller-protocol",
  TableFeed = "table-feed",
  FleetLink = "fleet-link",
  Routing = "routing",
  Directory = "directory",
  KeySpace = "key-space",
  KeyGranter = "key-granter",
  LoadReports = "load-reports",
  Evacuations = "evacuations",
  ColdServers = "cold-servers",
  Capacities = "capacities",
  Dispatch = "dispatch",
  Gateway = "gateway",
  MetricsListener = "metrics-listener",
}
