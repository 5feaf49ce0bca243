/**
 * Calls the daemons of a fleet over RPC: the daemon that the operator names, and
 * the other daemons that this daemon lists. Each daemon is called directly.
 */
import type { DescService } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
import {
  type FleetDaemon,
  type GetStatusResponse,
  OperatorService,
} from "../gen/skylarkridge/v1/operator_pb.ts";
import type { PeerTransport } from "../host/peer_transport.ts";
import { type ToolError, toToolError } from "./tool_error.ts";

const maxConcurrentCallCount = 32;

/** The result of calling one daemon; exactly one of `value` and `error` is set. */
export interface DaemonAnswer<T> {
  readonly daemon: FleetDaemon;
  readonly value: T | undefined;
  readonly error: ToolError | undefined;
}

/** A call of an RPC service. */
export interface DaemonCall<S extends DescService, T> {
  readonly service: S;
  readonly invoke: (client: Client<S>) => Promise<T>;
}

/** Calls daemons through their peer listeners. */
export class FleetClient {
  readonly #transport: PeerTransport;
  readonly #address: string;

  constructor(transport: PeerTransport, address: string) {
    this.#transport = transport;
    this.#address = address;
  }

  /** Calls the daemon that the operator named; throws `ToolError`. */
  async call<S extends DescService, T>(
    service: S,
    invoke: (client: Client<S>) => Promise<T>,
  ): Promise<T> {
    return await this.#callAt(this.#address, { service, invoke });
  }

  /** Returns the status of the daemon that the operator named. */
  getStatus(): Promise<GetStatusResponse> {
    return this.call(OperatorService, (client) => client.getStatus({}));
  }

  /** Calls every daemon that the named daemon lists, with bounded concurrency. */
  async callAll<S extends DescService, T>(
    service: S,
    invoke: (client: Client<S>) => Promise<T>,
  ): Promise<readonly DaemonAnswer<T>[]> {
    const { daemons } = await this.getStatus();
    const remaining = [...daemons];
    const answers: DaemonAnswer<T>[] = [];
    const callRemaining = async () => {
      for (;;) {
        const daemon = remaining.shift();
        if (daemon === undefined) return;
        answers.push(await this.#tryCallDaemon(daemon, { service, invoke }));
      }
    };
    await Promise.all(
      Array.from({ length: maxConcurrentCallCount }, callRemaining),
    );
    return answers.sort((a, b) =>
      a.daemon.daemonId < b.daemon.daemonId ? -1 : 1
    );
  }

  /** Calls one daemon of the fleet; throws `ToolError`. */
  async callDaemon<S extends DescService, T>(
    daemon: FleetDaemon,
    call: DaemonCall<S, T>,
  ): Promise<T> {
    return await this.#callAt(daemon.address, call);
  }

  /** Calls one daemon; returns a failure as part of the answer. */
  async #tryCallDaemon<S extends DescService, T>(
    daemon: FleetDaemon,
    call: DaemonCall<S, T>,
  ): Promise<DaemonAnswer<T>> {
    try {
      const value = await this.callDaemon(daemon, call);
      return { daemon, value, error: undefined };
    } catch (error) {
      const failure = toToolError(error, daemon.daemonId);
      return { daemon, value: undefined, error: failure };
    }
  }

  async #callAt<S extends DescService, T>(
    address: string,
    { service, invoke }: DaemonCall<S, T>,
  ): Promise<T> {
    try {
      const transport = this.#transport.connectTo(address);
      return await invoke(createClient(service, transport));
    } catch (error) {
      throw toToolError(error, address);
    }
  }
}
