/**
 * The HTTP transport to backend servers, based on undici. Maps each response
 * and each network error to an attempt outcome: a request counts as not run
 * only after a failed connection or an explicit refusal by the server. Retries
 * are left to the callers.
 */
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { z } from "zod";
import { MessageCode } from "../../diagnostics/messages.ts";
import {
  type BackendGrant,
  type BackendReport,
  BackendTransport,
} from "../../host/backend_transport.ts";
import { isFinalStatus } from "../../host/final_status.ts";
import { notSentCodes } from "../../host/not_sent_codes.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../../types/types.ts";
import { readText } from "../../streams/read_text.ts";
import { flattenHeaders } from "./http_headers.ts";

/**
 * Response header in which a backend server states that it did not run a
 * request.
 */
export const refusedUnrunHeader = "skylark-refused-unrun";

const reportSchema = z.object({
  isHealthy: z.boolean(),
  isDraining: z.boolean(),
  isWarm: z.boolean(),
  busySlots: z.number(),
});

const statusOk = 200;
/** Status of a grant or revocation with a fence below one that the server knows. */
const statusFenced = 409;
const controlConnectionCount = 1;
/** Maximum size of an answer to a health check, a grant or a revocation. */
const maxControlAnswerBytes = 65_536;

export interface HttpBackendTransportOptions {
  readonly connectTimeoutMs: number;
  /** Connections this daemon may open to one backend server. */
  readonly connectionsPerServer: number;
}

/** The connections to one backend server. */
interface ServerPools {
  readonly requests: Pool;
  readonly control: Pool;
}

/**
 * Sends requests, health checks and grants to backend servers over HTTP. Health
 * checks and grants use a connection pool of their own, so that in-flight requests
 * do not delay them.
 */
export class HttpBackendTransport extends BackendTransport {
  readonly #options: HttpBackendTransportOptions;
  readonly #pools = new Map<string, ServerPools>();

  constructor(options: HttpBackendTransportOptions) {
    super();
    this.#options = options;
  }

  override async stop(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(
      pools.flatMap(({ requests, control }) => [
        requests.destroy(),
        control.destroy(),
      ]),
    );
  }

  override async send(
    request: RoutedRequest,
    location: KeyLocation,
    options: {
      readonly signal: AbortSignal;
      readonly startBeforeWallMs: number;
    },
  ): Promise<Result<RoutedResponse, RouterError>> {
    const { server } = location;
    try {
      const answer = await this.#getOrCreatePools(server).requests.request({
        path: request.path,
        method: request.method,
        headers: {
          ...request.headers,
          "skylark-service": request.service,
          "skylark-key": encodeURIComponent(request.key),
          "skylark-customer": encodeURIComponent(request.customer),
          "skylark-request-id": request.requestId,
          "skylark-shard": String(location.shard),
          "skylark-fence": String(location.fence),
          "skylark-start-before-wall-ms": String(options.startBeforeWallMs),
        },
        ...(request.body.length === 0 ? {} : { body: request.body }),
        signal: options.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const { statusCode: status } = answer;
      if (!isFinalStatus(status)) {
        answer.body.on("error", () => {}).destroy();
        return err(
          createSendError(
            server,
            new RangeError(`status ${status} is not one of a final answer`),
          ),
        );
      }
      const headers = flattenHeaders(answer.headers);
      const refusal = headers[refusedUnrunHeader];
      if (refusal === undefined) {
        return ok({ status, headers, body: answer.body });
      }
      await answer.body.dump();
      return err(createRefusal(server, refusal));
    } catch (error) {
      return err(createSendError(server, error));
    }
  }

  override async checkHealth(
    server: AssignedServer,
    signal: AbortSignal,
  ): Promise<Result<BackendReport, RouterError>> {
    const answer = await this.#sendControlRequest(server, {
      method: "GET",
      path: "/health",
      signal,
    });
    return answer.map((text) => reportSchema.parse(JSON.parse(text)));
  }

  override async grant(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>> {
    const answer = await this.#sendControlRequest(server, {
      method: "POST",
      path: "/grant",
      body: JSON.stringify(grant),
      signal,
    });
    return answer.map(() => undefined);
  }

  override async revoke(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>> {
    const answer = await this.#sendControlRequest(server, {
      method: "POST",
      path: "/revoke",
      body: JSON.stringify(grant),
      signal,
    });
    return answer.map(() => undefined);
  }

  override async closeConnections(server: AssignedServer): Promise<void> {
    const pools = this.#pools.get(server.address);
    if (pools === undefined) return;
    this.#pools.delete(server.address);
    await pools.requests.close();
    await pools.control.close();
  }

  async #sendControlRequest(
    server: AssignedServer,
    call: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: string;
      readonly signal: AbortSignal;
    },
  ): Promise<Result<string, RouterError>> {
    const step = `${call.method} ${call.path}`;
    try {
      const { path, method, body, signal } = call;
      const answer = await this.#getOrCreatePools(server).control.request({
        path,
        method,
        signal,
        ...(body === undefined ? {} : { body }),
      });
      const text = await readText(answer.body, maxControlAnswerBytes);
      if (answer.statusCode === statusOk) return ok(text);
      return err(
        new RouterError(MessageCode.BackendRefused, step, {
          peer: server.serverId,
          detail: `status ${answer.statusCode}`,
          // No other status says that the command was not carried out.
          outcome: answer.statusCode === statusFenced
            ? AttemptOutcome.RefusedUnrun
            : AttemptOutcome.Unknown,
        }),
      );
    } catch (error) {
      return err(
        new RouterError(MessageCode.BackendUnreachable, step, {
          peer: server.serverId,
          detail: String(error),
          outcome: AttemptOutcome.Unknown,
          cause: error,
        }),
      );
    }
  }

  #getOrCreatePools(server: AssignedServer): ServerPools {
    const existing = this.#pools.get(server.address);
    if (existing !== undefined) return existing;
    const origin = `http://${server.address}`;
    const connect = { timeout: this.#options.connectTimeoutMs };
    const pools = {
      requests: new Pool(origin, {
        connections: this.#options.connectionsPerServer,
        connect,
      }),
      control: new Pool(origin, {
        connections: controlConnectionCount,
        connect,
      }),
    };
    this.#pools.set(server.address, pools);
    return pools;
  }
}

function createRefusal(server: AssignedServer, detail: string): RouterError {
  const isFenceRefusal = detail === "fence";
  return new RouterError(
    isFenceRefusal ? MessageCode.FenceRefused : MessageCode.BackendRefused,
    "send",
    {
      peer: server.serverId,
      detail,
      outcome: AttemptOutcome.RefusedUnrun,
    },
  );
}

function createSendError(server: AssignedServer, error: unknown): RouterError {
  const code = (error as { code?: string }).code ?? "";
  const isNotSent = notSentCodes.has(code);
  return new RouterError(
    isNotSent ? MessageCode.BackendUnreachable : MessageCode.OutcomeUnknown,
    "send",
    {
      peer: server.serverId,
      detail: String(error),
      outcome: isNotSent ? AttemptOutcome.NotSent : AttemptOutcome.Unknown,
      cause: error,
    },
  );
}
