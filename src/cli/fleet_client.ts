/**
 * Reaches the daemons of a fleet: the one the operator names, and the others
 * that it knows of, each asked directly.
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

const concurrentCallCount = 32;

/** What one daemon answered; exactly one of the two is set. */
export interface DaemonAnswer<T> {
  readonly daemon: FleetDaemon;
  readonly value: T | undefined;
  readonly error: ToolError | undefined;
}

/** One call of one RPC service. */
export interface Question<S extends DescService, T> {
  readonly service: S;
  readonly call: (client: Client<S>) => Promise<T>;
}

/** Asks daemons over the peer listener. */
export class FleetClient {
  readonly #transport: PeerTransport;
  readonly #address: string;

  constructor(transport: PeerTransport, address: string) {
    this.#transport = transport;
    this.#address = address;
  }

  /** Asks the daemon that the operator named; throws `ToolError`. */
  async ask<S extends DescService, T>(
    service: S,
    call: (client: Client<S>) => Promise<T>,
  ): Promise<T> {
    return await this.#askAt(this.#address, { service, call });
  }

  /** The state of the daemon that the operator named. */
  getStatus(): Promise<GetStatusResponse> {
    return this.ask(OperatorService, (client) => client.getStatus({}));
  }

  /** Asks every daemon that the named one knows, a few at a time. */
  async askAll<S extends DescService, T>(
    service: S,
    call: (client: Client<S>) => Promise<T>,
  ): Promise<readonly DaemonAnswer<T>[]> {
    const { daemons } = await this.getStatus();
    const remaining = [...daemons];
    const answers: DaemonAnswer<T>[] = [];
    const askNext = async () => {
      for (;;) {
        const daemon = remaining.shift();
        if (daemon === undefined) return;
        answers.push(await this.#tryAskDaemon(daemon, { service, call }));
      }
    };
    await Promise.all(Array.from({ length: concurrentCallCount }, askNext));
    return answers.sort((a, b) =>
      a.daemon.daemonId < b.daemon.daemonId ? -1 : 1
    );
  }

  /** Asks one daemon of the fleet; throws `ToolError`. */
  async askDaemon<S extends DescService, T>(
    daemon: FleetDaemon,
    question: Question<S, T>,
  ): Promise<T> {
    return await this.#askAt(daemon.address, question);
  }

  /** Asks one daemon; a failure is part of the answer. */
  async #tryAskDaemon<S extends DescService, T>(
    daemon: FleetDaemon,
    question: Question<S, T>,
  ): Promise<DaemonAnswer<T>> {
    try {
      const value = await this.askDaemon(daemon, question);
      return { daemon, value, error: undefined };
    } catch (error) {
      const failure = toToolError(error, daemon.daemonId);
      return { daemon, value: undefined, error: failure };
    }
  }

  async #askAt<S extends DescService, T>(
    address: string,
    { service, call }: Question<S, T>,
  ): Promise<T> {
    try {
      const transport = this.#transport.connectTo(address);
      return await call(createClient(service, transport));
    } catch (error) {
      throw toToolError(error, address);
    }
  }
}
