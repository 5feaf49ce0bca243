/**
 * A fake network between the daemons of one test, in memory. Connect services
 * are called through Connect's router transport; forwarded requests are passed
 * directly to the peer's home. Links can be cut, and daemons frozen or killed.
 */
import { create, type DescService, toBinary } from "@bufbuild/protobuf";
import {
  Code,
  ConnectError,
  type ConnectRouter,
  createRouterTransport,
  type ServiceImpl,
  type Transport,
} from "@connectrpc/connect";
import { err, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import { PeerTransport } from "../host/peer_transport.ts";
import type { ServiceLookup } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { PeerServer } from "../services/peers/peer_server.ts";
import { AttemptOutcome } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";
import type {
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../types/types.ts";
import type { FreezableClock } from "./freezable_clock.ts";

const callTimeoutMs = 500;

/** One daemon on the network. */
interface NetworkNode {
  readonly address: string;
  readonly clock: FreezableClock;
  readonly server: FakePeerServer;
  services: ServiceLookup | undefined;
  isAlive: boolean;
}

/** The links between daemons. */
export class FakePeerNetwork {
  readonly #nodes = new Map<string, NetworkNode>();
  readonly #cutLinks = new Set<string>();
  /** Number of control calls, by the caller's address. */
  readonly callCounts = new Map<string, number>();
  /** Size of the control messages sent and received, by address. */
  readonly byteCounts = new Map<string, number>();

  /** Adds a daemon; a restarted daemon has a new address. */
  addNode(address: string, clock: FreezableClock): FakePeerServer {
    const server = new FakePeerServer();
    this.#nodes.set(address, {
      address,
      clock,
      server,
      services: undefined,
      isAlive: true,
    });
    return server;
  }

  /** Sets the services to which requests for a daemon are passed. */
  attach(address: string, services: ServiceLookup): void {
    this.#nodes.get(address)!.services = services;
  }

  /** Makes a daemon unreachable permanently. */
  kill(address: string): void {
    this.#nodes.get(address)!.isAlive = false;
  }

  /** Cuts the link between two daemons in both directions. */
  cut(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`).add(`${to}>${from}`);
  }

  /** Restores the link between two daemons. */
  heal(from: string, to: string): void {
    this.#cutLinks.delete(`${from}>${to}`);
    this.#cutLinks.delete(`${to}>${from}`);
  }

  /** Restores every link. */
  healAll(): void {
    this.#cutLinks.clear();
  }

  /** Resolves with the peer when a call can reach it; rejects if the peer is unreachable. */
  async reach(from: string, to: string): Promise<NetworkNode> {
    const caller = this.#nodes.get(from)!;
    await caller.clock.waitUntilThawed();
    const target = this.#nodes.get(to);
    if (target === undefined || !target.isAlive || !caller.isAlive) {
      await caller.clock.sleep(1);
      throw new ConnectError(`${to} refused the connection`, Code.Unavailable);
    }
    if (this.#cutLinks.has(`${from}>${to}`)) {
      await caller.clock.sleep(callTimeoutMs);
      throw new ConnectError(`${to} timed out`, Code.DeadlineExceeded);
    }
    return target;
  }

  /** Adds the size of a message to the counts of both ends. */
  countBytes(from: string, to: string, sizeBytes: number): void {
    for (const end of [from, to]) {
      this.byteCounts.set(end, (this.byteCounts.get(end) ?? 0) + sizeBytes);
    }
  }

  /** Waits while a daemon is frozen. */
  async waitUntilThawed(address: string): Promise<void> {
    await this.#nodes.get(address)!.clock.waitUntilThawed();
  }

  /** Makes a call with a timeout in virtual time. */
  async callWithTimeout<T>(from: string, call: () => Promise<T>): Promise<T> {
    this.callCounts.set(from, (this.callCounts.get(from) ?? 0) + 1);
    const caller = this.#nodes.get(from)!;
    const finished = new AbortController();
    const timeout = caller.clock.sleep(callTimeoutMs, finished.signal)
      .then(() => {
        throw new ConnectError("the call timed out", Code.DeadlineExceeded);
      });
    timeout.catch(() => {});
    try {
      return await Promise.race([call(), timeout]);
    } finally {
      finished.abort();
    }
  }
}

/** Collects the Connect services of one daemon. */
export class FakePeerServer extends PeerServer {
  readonly #registrations: ((router: ConnectRouter) => void)[] = [];

  override addConnectService<S extends DescService>(
    description: S,
    implementation: Partial<ServiceImpl<S>>,
  ): void {
    this.#registrations.push((router) =>
      router.service(description, implementation)
    );
  }

  /** Registers every service with a router. */
  register(router: ConnectRouter): void {
    for (const register of this.#registrations) register(router);
  }
}

/** One daemon's transport to its peers. */
export class FakePeerTransport extends PeerTransport {
  readonly #network: FakePeerNetwork;
  readonly #address: string;

  constructor(network: FakePeerNetwork, address: string) {
    super();
    this.#network = network;
    this.#address = address;
  }

  override connectTo(address: string): Transport {
    const network = this.#network;
    const from = this.#address;
    return {
      unary: (method, signal, timeoutMs, header, input, contextValues) =>
        network.callWithTimeout(from, async () => {
          const node = await network.reach(from, address);
          await node.clock.waitUntilThawed();
          const answer = await createRouterTransport((router) =>
            node.server.register(router)
          ).unary(method, signal, timeoutMs, header, input, contextValues);
          await network.reach(address, from);
          await network.waitUntilThawed(from);
          const sizeBytes =
            toBinary(method.input, create(method.input, input)).length +
            toBinary(method.output, answer.message).length;
          network.countBytes(from, address, sizeBytes);
          return answer;
        }),
      stream: () => {
        throw new ConnectError(
          "streaming calls are not supported by the fake",
          Code.Unimplemented,
        );
      },
    };
  }

  override async forward(
    address: string,
    request: RoutedRequest,
    options: { readonly location: KeyLocation; readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>> {
    try {
      const node = await this.#network.reach(this.#address, address);
      await node.clock.waitUntilThawed();
      if (node.services === undefined) throw new Error("not started");
      const result = await node.services.get(ServiceName.Home)
        .dispatch(request, { signal: options.signal });
      await this.#network.waitUntilThawed(this.#address);
      return result;
    } catch (error) {
      return err(
        new RouterError(MessageCode.PeerUnreachable, "forward", {
          peer: address,
          detail: String(error),
          outcome: AttemptOutcome.NotSent,
        }),
      );
    }
  }
}
