/** What callers say in their requests' headers, and where readiness is asked. */
import type { IncomingHttpHeaders } from "node:http";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";

/** Facts that a caller states about its request. */
export interface CallerFacts {
  readonly requestId: string | undefined;
  /** How long the caller will wait, counted from its sending. */
  readonly timeoutMs: number | undefined;
  /** The key, for services whose keys have owners. */
  readonly key: number | undefined;
}

/** Reads the headers that the platform defines for callers. */
export abstract class CallerProtocol extends Service {
  override readonly name = ServiceName.CallerProtocol;

  /** The path under which the platform asks whether the daemon is ready. */
  abstract readonly readinessPath: string;

  /** Reads a request's headers; what is malformed counts as missing. */
  abstract readFacts(headers: IncomingHttpHeaders): CallerFacts;

  /** Keeps the headers that are not about one connection. */
  abstract keepEndToEnd(rawHeaders: readonly string[]): string[];
}
