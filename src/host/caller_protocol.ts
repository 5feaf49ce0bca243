/** The contract of the caller protocol: request headers and the readiness path. */
import type { IncomingHttpHeaders } from "node:http";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";

/** Metadata that a caller sends in the headers of its request. */
export interface CallerMetadata {
  readonly requestId: string | undefined;
  /** How long the caller waits, counted from when it sent the request. */
  readonly timeoutMs: number | undefined;
  /** The key, for sharded services. */
  readonly key: number | undefined;
}

/** Decodes the headers that the platform defines for callers. */
export abstract class CallerProtocol extends Service {
  override readonly name = ServiceName.CallerProtocol;

  /** The path at which the platform polls the daemon's readiness. */
  abstract readonly readinessPath: string;

  /** Decodes the headers of a request; malformed headers count as missing. */
  abstract decodeMetadata(headers: IncomingHttpHeaders): CallerMetadata;

  /** Removes the hop-by-hop headers, which apply to one connection only. */
  abstract removeHopByHopHeaders(rawHeaders: readonly string[]): string[];
}
