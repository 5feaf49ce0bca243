/** The services and tables that the tasks of the home service share. */
import type { BackendTransport } from "../../host/backend_transport.ts";
import type { Clock } from "../../host/clock.ts";
import type { Log } from "../log/log.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Ownership } from "../ownership/ownership.ts";
import type { InFlightTable } from "./in_flight.ts";
import type { StandbyRecorder } from "./standby_recorder.ts";

export interface HomeContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly ownership: Ownership;
  readonly transport: BackendTransport;
  readonly inFlight: InFlightTable;
  readonly standbys: StandbyRecorder;
}
