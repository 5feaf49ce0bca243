/** Calls from one daemon to another over HTTP; each has a timeout and sends and receives one message. */
import { Agent, request as startRequest } from "node:http";
import { LimitedSignal } from "../../host/limited_signal.ts";
import { readBytes } from "./read_bytes.ts";

const statusOk = 200;

/** The paths that a daemon serves to other daemons. */
export enum FleetPath {
  /** Exchanges load reports and table changes with the key granter. */
  Sync = "/sync",
  /** Returns the table changes that any daemon knows. */
  Copies = "/copies",
}

/** The failure of a call. */
export class FleetCallError extends Error {
  /** Status of the answer; undefined when there was none. */
  readonly status: number | undefined;

  constructor(message: string, status?: number) {
    super(message);
    this.name = "FleetCallError";
    this.status = status;
  }
}

/** A call to another daemon. */
export interface FleetCall {
  /** `host:port`. */
  readonly address: string;
  readonly path: FleetPath;
  readonly body: string;
  readonly timeoutMs: number;
  /** Each cancels the call when it aborts. */
  readonly signals: readonly AbortSignal[];
}

/** Sends calls over one keep-alive connection for each daemon. */
export class FleetCalls {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  /** Sends a call and returns the body of its answer; rejects unless the status is 200. */
  async post(call: FleetCall): Promise<Uint8Array> {
    const limit = new LimitedSignal({
      parents: [...call.signals],
      timeoutMs: call.timeoutMs,
    });
    try {
      return await this.#send(call, limit.signal);
    } finally {
      limit.dispose();
    }
  }

  #send(
    { address, path, body }: FleetCall,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      const request = startRequest({
        agent: this.#agent,
        host: host!,
        port: Number(port),
        method: "POST",
        path,
        signal,
      });
      request.on("error", reject);
      request.on("response", (response) => {
        readBytes(response).then((bytes) => {
          if (response.statusCode === statusOk) return resolve(bytes);
          const { statusCode } = response;
          reject(new FleetCallError(`status ${statusCode}`, statusCode));
        }, reject);
      });
      request.end(body);
    });
  }
}
