/**
 * Fake backend servers in memory, shared by the daemons of one test. Each server
 * records its executions, which the checkers read instead of a daemon's state.
 */
import { err, ok, type Result } from "neverthrow";
import { GrantBook } from "../../standins/backend/grant_book.ts";
import { MessageCode } from "../diagnostics/messages.ts";
import {
  type BackendGrant,
  type BackendReport,
  BackendTransport,
} from "../host/backend_transport.ts";
import { AttemptOutcome } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../types/types.ts";
import { FreezableClock } from "./freezable_clock.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** One executed request. */
export interface FakeExecution {
  readonly serverId: string;
  readonly service: string;
  readonly key: string;
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  readonly isIdempotent: boolean;
  readonly fence: number;
  readonly startedAtMs: number;
  finishedAtMs: number;
}

/** How a fake backend server behaves; a test may change it at any time. */
export interface FakeServerBehaviour {
  isFenceChecked: boolean;
  serviceTimeMs: number;
  slotCount: number;
  isDraining: boolean;
  /** Refuses every request without executing it. */
  isShedding: boolean;
  /** Executes requests and loses their answers. */
  losesAnswers: boolean;
  isAlive: boolean;
  /** Accepts requests and never answers them. */
  hangsRequests: boolean;
  /** Answers requests but no health checks. */
  failsHealthChecks: boolean;
  answerFault: FakeAnswerFault;
}

/** The fault of a fake server's answers. */
export enum FakeAnswerFault {
  None = "none",
  /** The body ends before its declared length. */
  CutBody = "cut-body",
  /** The answer has the identifier of another request. */
  OtherRequest = "other-request",
  /** The body never ends. */
  EndlessBody = "endless-body",
}

/** One backend server. */
export class FakeBackendServer {
  readonly serverId: string;
  readonly clock: FreezableClock;
  readonly behaviour: FakeServerBehaviour;
  readonly grants: GrantBook;
  readonly executions: FakeExecution[] = [];
  readonly #waiting: (() => void)[] = [];
  #busySlots = 0;

  constructor(
    serverId: string,
    clock: FreezableClock,
    behaviour: Partial<FakeServerBehaviour> = {},
  ) {
    this.serverId = serverId;
    this.clock = clock;
    this.grants = new GrantBook(() => clock.nowMs());
    this.behaviour = {
      isFenceChecked: true,
      serviceTimeMs: 2,
      slotCount: 3,
      isDraining: false,
      isShedding: false,
      losesAnswers: false,
      isAlive: true,
      hangsRequests: false,
      failsHealthChecks: false,
      answerFault: FakeAnswerFault.None,
      ...behaviour,
    };
  }

  /** Number of requests being executed. */
  busySlots(): number {
    return this.#busySlots;
  }

  /** Number of requests waiting in the server's FIFO queue. */
  queuedCount(): number {
    return this.#waiting.length;
  }

  /** Executes or refuses a request. */
  async execute(
    request: RoutedRequest,
    location: KeyLocation,
    startBeforeWallMs: number,
  ): Promise<Result<RoutedResponse, RouterError>> {
    await this.clock.waitUntilThawed();
    await this.#acquireSlot();
    try {
      const refusal = this.#tryGetRefusal(request, location, startBeforeWallMs);
      if (refusal !== undefined) return err(refusal);
      const execution = this.#record(request, location);
      if (this.behaviour.hangsRequests) await new Promise(() => {});
      await this.clock.sleep(this.behaviour.serviceTimeMs);
      execution.finishedAtMs = this.clock.nowMs();
      if (!this.behaviour.isAlive || this.behaviour.losesAnswers) {
        return err(this.#createUnknown());
      }
      return ok(
        createAnswer(this.serverId, request, this.behaviour.answerFault),
      );
    } finally {
      this.#busySlots -= 1;
      this.#waiting.shift()?.();
    }
  }

  #record(request: RoutedRequest, location: KeyLocation): FakeExecution {
    const execution: FakeExecution = {
      serverId: this.serverId,
      service: request.service,
      key: request.key,
      requestId: request.requestId,
      idempotencyKey: request.idempotencyKey,
      isIdempotent: request.isIdempotent,
      fence: location.fence,
      startedAtMs: this.clock.nowMs(),
      finishedAtMs: Number.POSITIVE_INFINITY,
    };
    this.executions.push(execution);
    return execution;
  }

  async #acquireSlot(): Promise<void> {
    if (this.#busySlots >= this.behaviour.slotCount) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
      await this.clock.waitUntilThawed();
    }
    this.#busySlots += 1;
  }

  #tryGetRefusal(
    request: RoutedRequest,
    location: KeyLocation,
    startBeforeWallMs: number,
  ): RouterError | undefined {
    if (this.behaviour.isShedding) return this.#createRefusal("shedding");
    if (this.clock.wallTimeMs() > startBeforeWallMs) {
      return this.#createRefusal("start-deadline");
    }
    if (!this.behaviour.isFenceChecked) return undefined;
    const isHeld = this.grants.allows({
      service: request.service,
      key: request.key,
      shard: String(location.shard),
    }, location.fence);
    return isHeld ? undefined : this.#createRefusal("fence");
  }

  #createRefusal(detail: string): RouterError {
    const code = detail === "fence"
      ? MessageCode.FenceRefused
      : MessageCode.BackendRefused;
    return new RouterError(code, "send", {
      peer: this.serverId,
      detail,
      outcome: AttemptOutcome.RefusedUnrun,
    });
  }

  #createUnknown(): RouterError {
    return new RouterError(MessageCode.OutcomeUnknown, "send", {
      peer: this.serverId,
      detail: "the answer was lost",
      outcome: AttemptOutcome.Unknown,
    });
  }
}

function createAnswer(
  serverId: string,
  request: RoutedRequest,
  fault: FakeAnswerFault,
): RoutedResponse {
  const content = Buffer.from(
    `${request.service}/${request.key}/${request.requestId}`,
  );
  async function* body(): AsyncIterable<Uint8Array> {
    if (fault === FakeAnswerFault.CutBody) yield content.subarray(1);
    else yield content;
    if (fault === FakeAnswerFault.EndlessBody) await new Promise(() => {});
  }
  const isOther = fault === FakeAnswerFault.OtherRequest;
  return {
    status: 200,
    headers: {
      "skylark-server": serverId,
      "skylark-request-id": isOther ? "other" : request.requestId,
      "content-length": String(content.length),
    },
    body: body(),
  };
}

/** All backend servers of one test. */
export class FakeBackendServers {
  readonly servers = new Map<string, FakeBackendServer>();
  /** Links `daemonId>serverId` that are cut. */
  readonly cutLinks = new Set<string>();
  healthCheckCount = 0;

  /** Adds a server. */
  addServer(
    serverId: string,
    shared: VirtualClock,
    behaviour: Partial<FakeServerBehaviour> = {},
  ): FakeBackendServer {
    const clock = new FreezableClock(shared);
    const server = new FakeBackendServer(serverId, clock, behaviour);
    this.servers.set(serverId, server);
    return server;
  }

  /** The executions of all servers, ordered by start. */
  executions(): FakeExecution[] {
    return [...this.servers.values()]
      .flatMap((server) => server.executions)
      .sort((a, b) => a.startedAtMs - b.startedAtMs);
  }
}

/** One daemon's transport to the fake backend servers. */
export class FakeBackendTransport extends BackendTransport {
  readonly #backends: FakeBackendServers;
  readonly #daemonId: string;
  readonly #clock: FreezableClock;

  constructor(
    backends: FakeBackendServers,
    caller: { readonly daemonId: string; readonly clock: FreezableClock },
  ) {
    super();
    this.#backends = backends;
    this.#daemonId = caller.daemonId;
    this.#clock = caller.clock;
  }

  override async send(
    request: RoutedRequest,
    location: KeyLocation,
    options: {
      readonly signal: AbortSignal;
      readonly startBeforeWallMs: number;
    },
  ): Promise<Result<RoutedResponse, RouterError>> {
    await this.#clock.waitUntilThawed();
    const server = this.#tryReach(location.server);
    if (server === undefined) return err(this.#createUnreachable(location));
    const cancelled = waitForAbort(options.signal).then(() =>
      err(this.#createCancelled(location))
    );
    const result = await Promise.race([
      server.execute(request, location, options.startBeforeWallMs),
      cancelled,
    ]);
    await this.#clock.waitUntilThawed();
    return result;
  }

  override async checkHealth(
    server: AssignedServer,
    signal: AbortSignal,
  ): Promise<Result<BackendReport, RouterError>> {
    this.#backends.healthCheckCount += 1;
    const reached = await this.#reachForControl(server, signal);
    if (reached.isOk() && reached.value.behaviour.failsHealthChecks) {
      return err(createHealthCheckFailure(server));
    }
    return reached.map((target) => ({
      isHealthy: true,
      isDraining: target.behaviour.isDraining,
      isWarm: true,
      busySlots: target.busySlots(),
    }));
  }

  override async grant(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>> {
    const reached = await this.#reachForControl(server, signal);
    if (reached.isErr()) return err(reached.error);
    if (reached.value.grants.accept(grant)) return ok(undefined);
    return err(
      new RouterError(MessageCode.FenceRefused, "grant", {
        peer: server.serverId,
        outcome: AttemptOutcome.RefusedUnrun,
      }),
    );
  }

  override async revoke(
    server: AssignedServer,
    grant: BackendGrant,
    signal: AbortSignal,
  ): Promise<Result<void, RouterError>> {
    const reached = await this.#reachForControl(server, signal);
    return reached.map((target) => target.grants.revoke(grant));
  }

  override closeConnections(_server: AssignedServer): Promise<void> {
    return Promise.resolve();
  }

  /** Reaches a server for a grant, revocation or health check; fails if the server stays frozen until the signal aborts. */
  async #reachForControl(
    server: AssignedServer,
    signal: AbortSignal,
  ): Promise<Result<FakeBackendServer, RouterError>> {
    const target = this.#tryReach(server);
    await this.#clock.sleep(1, signal);
    if (target === undefined || signal.aborted) {
      return err(
        new RouterError(MessageCode.BackendUnreachable, "control", {
          peer: server.serverId,
          outcome: AttemptOutcome.Unknown,
        }),
      );
    }
    const aborted = waitForAbort(signal).then(() => undefined);
    const opened = target.clock.waitUntilThawed().then(() => target);
    const reached = await Promise.race([opened, aborted]);
    await this.#clock.waitUntilThawed();
    if (reached !== undefined) return ok(reached);
    return err(
      new RouterError(MessageCode.BackendUnreachable, "control", {
        peer: server.serverId,
        detail: "timed out",
        outcome: AttemptOutcome.Unknown,
      }),
    );
  }

  #tryReach(server: AssignedServer): FakeBackendServer | undefined {
    const target = this.#backends.servers.get(server.serverId);
    if (target === undefined || !target.behaviour.isAlive) return undefined;
    const isCut = this.#backends.cutLinks.has(
      `${this.#daemonId}>${server.serverId}`,
    );
    return isCut ? undefined : target;
  }

  #createUnreachable(location: KeyLocation): RouterError {
    return new RouterError(MessageCode.BackendUnreachable, "send", {
      peer: location.server.serverId,
      detail: "connection refused",
      outcome: AttemptOutcome.NotSent,
    });
  }

  #createCancelled(location: KeyLocation): RouterError {
    return new RouterError(MessageCode.OutcomeUnknown, "send", {
      peer: location.server.serverId,
      detail: "cancelled",
      outcome: AttemptOutcome.Unknown,
    });
  }
}

function createHealthCheckFailure(server: AssignedServer): RouterError {
  return new RouterError(MessageCode.BackendUnreachable, "probe", {
    peer: server.serverId,
    detail: "no answer",
    outcome: AttemptOutcome.Unknown,
  });
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
