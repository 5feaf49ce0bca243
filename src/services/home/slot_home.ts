/**
 * Dispatches requests to the backend servers homed here. Each server has one
 * task for its grants, one for its health and one for each slot. The tasks
 * start when an assignment makes this daemon the server's home, and end when
 * the daemon ceases to be the home.
 */
import { err } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { DeadlineSignal } from "../../host/deadline_signal.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { subscribe } from "../../streams/subscribe.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  RoutedRequest,
  ServerId,
  ServiceAssignment,
} from "../../types/types.ts";
import { CounterName } from "../metrics/metrics.ts";
import { createAbortError } from "./abort_error.ts";
import { createServerClosedError } from "./close_server.ts";
import { handOverServers } from "./hand_over.ts";
import { Home, type HomedServerStatus } from "./home.ts";
import { HomedServer } from "./homed_server.ts";
import { runHomedServer } from "./homed_server_task.ts";
import { type DispatchResult, QueuedRequest } from "./queued_request.ts";
import { createRunningHome, type RunningHome } from "./running_home.ts";
import { ServerGrants } from "./server_grants.ts";

const drainCheckIntervalMs = 20;

/** The home service with one task for each slot of a backend server. */
export class SlotHome extends Home {
  readonly #servers = new Map<ServerId, HomedServer>();
  readonly #serverTasks = new Set<Promise<void>>();
  #running: RunningHome | undefined;
  #unsubscribe: () => void = () => {};
  #dispatchCount = 0;
  #isClosed = false;

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.Membership,
      ServiceName.Ownership,
      ServiceName.PeerServer,
      ServiceName.PeerTransport,
      ServiceName.BackendTransport,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    const running = createRunningHome(services);
    this.#running = running;
    const { ownership } = running;
    ownership.setInFlightSource(running.inFlight);
    this.#unsubscribe = subscribe(
      ownership.changes,
      (assignment) => this.#noteAssignment(assignment),
    );
    for (const definition of ownership.definitions()) {
      const assignment = ownership.tryGetAssignment(definition.name);
      if (assignment !== undefined) this.#noteAssignment(assignment);
    }
    return Promise.resolve();
  }

  /**
   * Hands the servers over, then waits until the in-flight requests have
   * ended.
   */
  override async drain(): Promise<void> {
    const { clock } = this.#running!;
    await handOverServers(this.#running!, () => this.#servers.size);
    this.#isClosed = true;
    while (this.#dispatchCount > 0 || this.#running!.inFlight.size > 0) {
      await clock.sleep(drainCheckIntervalMs);
    }
  }

  override async stop(): Promise<void> {
    this.#isClosed = true;
    this.#unsubscribe();
    for (const server of [...this.#servers.values()]) this.#retire(server);
    await this.#running?.transfer.stop();
    await this.#running?.standbys.stop();
    await Promise.all(this.#serverTasks);
  }

  override async dispatch(
    request: RoutedRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<DispatchResult> {
    if (this.#isClosed || this.#running === undefined) {
      return err(createNotHomeError(request.service));
    }
    this.#dispatchCount += 1;
    try {
      return await this.#dispatch(request, options.signal);
    } finally {
      this.#dispatchCount -= 1;
    }
  }

  override status(): readonly HomedServerStatus[] {
    const { clock, ownership } = this.#running!;
    const nowMs = clock.nowMs();
    return [...this.#servers.values()].map((homed) => {
      const { serverId } = homed.server;
      const expiresAtMs = ownership.tryGetPermit(serverId)?.expiresAtMs;
      const permitRemainingMs = Math.max(0, (expiresAtMs ?? nowMs) - nowMs);
      return { ...homed.status(), permitRemainingMs };
    });
  }

  async #dispatch(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<DispatchResult> {
    const { ownership, guard } = this.#running!;
    const located = ownership.locate(request.service, request.key);
    if (located.isErr()) return err(located.error);
    const location = located.value;
    const homed = this.#servers.get(location.server.serverId);
    if (homed === undefined) {
      return err(createNotHomeError(location.server.serverId));
    }
    return await guard.run({
      request,
      location,
      signal,
      send: (attemptId) =>
        this.#enqueue(homed, { request, location, signal, attemptId }),
    });
  }

  /** Queues one attempt and waits for its result. */
  async #enqueue(
    homed: HomedServer,
    { request, location, signal, attemptId }: {
      readonly request: RoutedRequest;
      readonly location: KeyLocation;
      readonly signal: AbortSignal;
      readonly attemptId: string | undefined;
    },
  ): Promise<DispatchResult> {
    const { clock, metrics } = this.#running!;
    const queuedAtMs = clock.nowMs();
    const closedReason = homed.tryGetClosedReason(queuedAtMs);
    if (homed.retired.signal.aborted || closedReason !== undefined) {
      const { serverId } = homed.server;
      return err(
        createServerClosedError(serverId, closedReason ?? "homed elsewhere"),
      );
    }
    // An attempt with a record continues after its caller has cancelled, so
    // that a repeat finds its answer.
    const abort = new DeadlineSignal(clock, {
      atMs: request.deadlineAtMs,
      ...(attemptId === undefined ? { parent: signal } : {}),
    });
    const entry = new QueuedRequest({
      request,
      location,
      abort,
      attemptId,
      queuedAtMs,
    });
    homed.hotKeys.add(request.key);
    homed.shardCounts.add(location.shard);
    homed.enqueue(entry);
    abort.aborted.then(() => this.#dropQueued(homed, entry));
    const result = await entry.result;
    if (result.isErr()) abort.dispose();
    if (result.isErr() && result.error.code === MessageCode.Overloaded) {
      metrics.count(CounterName.RequestsShed, request.requestClass);
    }
    return result;
  }

  /**
   * Removes a request from the queue after its deadline or a cancellation by
   * its caller.
   */
  #dropQueued(homed: HomedServer, entry: QueuedRequest): void {
    const dropped = homed.removeQueued((other) => other === entry);
    if (dropped.length === 0) return;
    this.#running!.metrics.count(
      CounterName.RequestsExpired,
      entry.request.requestClass,
    );
    entry.settle(err(createAbortError(entry, AttemptOutcome.NotSent)));
  }

  /**
   * Starts the tasks of servers that the assignment newly homes here, retires
   * servers that it no longer homes here, and fails queued requests that may no
   * longer be sent.
   */
  #noteAssignment(assignment: ServiceAssignment): void {
    const { inFlight, services, transfer } = this.#running!;
    const { daemonId } = services.get(ServiceName.Membership).self();
    inFlight.noteAssignment(assignment);
    transfer.noteAssignment(assignment);
    const homedHere = new Map(
      assignment.servers
        .filter((server) => server.homeDaemonId === daemonId)
        .map((server) => [server.serverId, server]),
    );
    for (const homed of [...this.#servers.values()]) {
      if (homed.definition.name !== assignment.service) continue;
      const current = homedHere.get(homed.server.serverId);
      if (current?.address !== homed.server.address) this.#retire(homed);
      else this.#rejectForbidden(homed);
    }
    for (const server of homedHere.values()) this.#addHomed(assignment, server);
  }

  #addHomed(assignment: ServiceAssignment, server: AssignedServer): void {
    const context = this.#running!;
    const homed = this.#servers.get(server.serverId);
    if (homed !== undefined) {
      homed.grantWakeup.notify();
      return;
    }
    const definition = context.ownership.tryGetDefinition(assignment.service);
    if (definition === undefined || this.#isClosed) return;
    const grants = new ServerGrants({
      clock: context.clock,
      transport: context.transport,
      service: assignment.service,
      server,
    });
    const started = new HomedServer(definition, server, grants);
    this.#servers.set(server.serverId, started);
    const task = runHomedServer({ server: started, context })
      .finally(() => this.#serverTasks.delete(task));
    this.#serverTasks.add(task);
  }

  /**
   * Ends a server's tasks; in-flight requests finish and queued requests fail.
   */
  #retire(homed: HomedServer): void {
    this.#servers.delete(homed.server.serverId);
    homed.retired.abort();
    for (const entry of homed.removeQueued(() => true)) {
      entry.settle(err(createNotHomeError(homed.server.serverId)));
    }
  }

  #rejectForbidden(homed: HomedServer): void {
    const { inFlight } = this.#running!;
    const forbidden = homed.removeQueued(({ location, request }) =>
      !inFlight.isSendAllowed(location, request.key)
    );
    for (const entry of forbidden) {
      entry.settle(err(
        new RouterError(MessageCode.KeyMoving, "queue", {
          peer: homed.server.serverId,
        }),
      ));
    }
  }
}

function createNotHomeError(detail: string): RouterError {
  return new RouterError(MessageCode.NotHome, "dispatch", { detail });
}
