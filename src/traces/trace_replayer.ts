/**
 * Replays a trace on a test fleet, which runs the real services in one process
 * on virtual time. Each request and each fault is a task of its own.
 */
import { ServiceName } from "../kernel/service_name.ts";
import { type CallerAttempt, sendAsCaller } from "../proof/caller_load.ts";
import type { TestDaemon, TestFleet } from "../testing/test_fleet.ts";
import { AttemptOutcome, VmRole, VmState } from "../types/enums.ts";
import { assertNever } from "../types/errors.ts";
import { addTraceServer } from "./trace_fleet.ts";
import { createInitialPlans, createTraceLists } from "./trace_lists.ts";
import {
  type Trace,
  type TraceEvent,
  TraceEventKind,
  TraceMethod,
  type TraceRequest,
  type TraceService,
} from "./trace_schema.ts";

const requestTimeoutMs = 3_000;
const maxRepeatCount = 2;
/** Time from the end of a VM to its removal from the platform's list. */
const vmListLagMs = 2_000;
const listPollIntervalMs = 50;

/** One request of the trace with all its attempts. */
export interface ReplayedRequest {
  readonly request: TraceRequest;
  readonly attempts: readonly CallerAttempt[];
}

/** Replays the events of one trace on a started fleet. */
export class TraceReplayer {
  readonly requests: ReplayedRequest[] = [];
  /** Time from each list edit until the lists were in force on every running daemon. */
  readonly listEditDurationsMs: number[] = [];
  readonly #trace: Trace;
  readonly #fleet: TestFleet;
  readonly #daemons: readonly TestDaemon[];
  readonly #planByCustomer: Map<string, string>;
  #listsVersion = 0;
  #nextDaemonIndex = 0;

  constructor(trace: Trace, fleet: TestFleet) {
    this.#trace = trace;
    this.#fleet = fleet;
    this.#daemons = [...fleet.daemons];
    this.#planByCustomer = createInitialPlans(trace);
  }

  /** Carries out every event at its instant; resolves when all events have ended. */
  async run(): Promise<void> {
    await this.#applyLists();
    const startedAtMs = this.#fleet.clock.nowMs();
    const running: Promise<void>[] = [];
    for (const event of this.#trace.events) {
      const elapsedMs = this.#fleet.clock.nowMs() - startedAtMs;
      if (event.atMs > elapsedMs) {
        await this.#fleet.clock.sleep(event.atMs - elapsedMs);
      }
      running.push(this.#carryOut(event));
    }
    await Promise.all(running);
  }

  async #carryOut(event: TraceEvent): Promise<void> {
    switch (event.kind) {
      case TraceEventKind.Request:
        return await this.#sendRequest(event);
      case TraceEventKind.HotKeyShift:
        return;
      case TraceEventKind.ServerJoin:
        return addTraceServer(
          this.#fleet,
          this.#serviceOf(event.service),
          event.serverId,
        );
      case TraceEventKind.ServerDrain:
        return this.#drainServer(event.service, event.serverId);
      case TraceEventKind.ServerStall:
        return await this.#stallServer(event.serverId, event.durationMs);
      case TraceEventKind.ServerKill:
        this.#serverOf(event.serverId).behaviour.isAlive = false;
        return await this.#removeVmAfterLag(event.serverId);
      case TraceEventKind.DaemonKill:
        return await this.#killDaemon(this.#daemonOf(event.daemonIndex));
      case TraceEventKind.DaemonFreeze:
        return this.#daemonOf(event.daemonIndex).clock.freeze();
      case TraceEventKind.DaemonThaw:
        return this.#daemonOf(event.daemonIndex).clock.thaw();
      case TraceEventKind.StoreOutage:
        return await this.#simulateStoreOutage(event.durationMs);
      case TraceEventKind.ListEdit:
        this.#planByCustomer.set(event.customer, event.plan);
        return await this.#applyLists();
      default:
        return assertNever(event);
    }
  }

  /** Sends a request, and repeats it through the next daemon while it is not answered. */
  async #sendRequest(event: TraceRequest): Promise<void> {
    const attempts: CallerAttempt[] = [];
    const { requestClass } = this.#serviceOf(event.service);
    for (let repeat = 0; repeat <= maxRepeatCount; repeat++) {
      const attempt = await sendAsCaller(
        this.#fleet,
        this.#fleet.createRequest({
          service: event.service,
          requestClass,
          key: event.key,
          customer: event.customer,
          method: event.method,
          isIdempotent: event.method === TraceMethod.Get,
          idempotencyKey: event.idempotencyKey,
          deadlineAtMs: this.#fleet.clock.nowMs() + requestTimeoutMs,
        }),
        this.#nextDaemonIndex++,
      );
      attempts.push(attempt);
      if (attempt.outcome === AttemptOutcome.Answered) break;
    }
    this.requests.push({ request: event, attempts });
  }

  #drainServer(service: string, serverId: string): void {
    this.#serverOf(serverId).behaviour.isDraining = true;
    this.#fleet.putVm({
      vmId: serverId,
      role: VmRole.BackendServer,
      state: VmState.Leaving,
      address: serverId,
      dataCentre: "dc-a",
      service,
    });
  }

  async #stallServer(serverId: string, durationMs: number): Promise<void> {
    const { clock } = this.#serverOf(serverId);
    clock.freeze();
    await this.#fleet.clock.sleep(durationMs);
    clock.thaw();
  }

  async #killDaemon(daemon: TestDaemon): Promise<void> {
    this.#fleet.kill(daemon);
    await this.#removeVmAfterLag(daemon.daemonId);
  }

  async #removeVmAfterLag(vmId: string): Promise<void> {
    await this.#fleet.clock.sleep(vmListLagMs);
    this.#fleet.removeVm(vmId);
  }

  async #simulateStoreOutage(durationMs: number): Promise<void> {
    const { platform, clock } = this.#fleet;
    const faultBefore = platform.fault;
    platform.fault = { ...faultBefore, isDown: true };
    await clock.sleep(durationMs);
    platform.fault = faultBefore;
  }

  /** Applies the current plans and waits until they are in force on every running daemon. */
  async #applyLists(): Promise<void> {
    const { clock, daemons } = this.#fleet;
    const startedAtMs = clock.nowMs();
    const daemon = daemons.find((d) => !d.clock.isFrozen())!;
    const applied = await daemon.kernel.get(ServiceName.Lists).apply(
      createTraceLists(this.#planByCustomer),
      { baseVersion: this.#listsVersion, author: "trace" },
    );
    if (applied.isErr()) throw applied.error;
    const { version } = applied.value;
    this.#listsVersion = version;
    while (!this.#isInForce(version)) await clock.sleep(listPollIntervalMs);
    this.listEditDurationsMs.push(clock.nowMs() - startedAtMs);
  }

  #isInForce(version: number): boolean {
    return this.#fleet.daemons.every((daemon) => {
      const current = daemon.kernel.get(ServiceName.Lists).current();
      return daemon.clock.isFrozen() || (current?.version ?? 0) >= version;
    });
  }

  #serviceOf(name: string): TraceService {
    return this.#trace.header.services.find((s) => s.name === name)!;
  }

  #serverOf(serverId: string) {
    const server = this.#fleet.backends.servers.get(serverId);
    if (server === undefined) throw new Error(`unknown server ${serverId}`);
    return server;
  }

  #daemonOf(index: number): TestDaemon {
    const daemon = this.#daemons[index];
    if (daemon === undefined) throw new Error(`unknown daemon ${index}`);
    return daemon;
  }
}
