/**
 * Runs the real services of a fleet in one process on virtual time against a
 * trace: one task for each request and each fault.
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

const requestDeadlineMs = 3_000;
const maxRepeatCount = 2;
/** Time after which the platform's list shows that a VM is gone. */
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
  /** Time until each list edit was in force on every running daemon. */
  readonly listEditDurationsMs: number[] = [];
  readonly #trace: Trace;
  readonly #fleet: TestFleet;
  readonly #daemons: readonly TestDaemon[];
  readonly #plans: Map<string, string>;
  #listsVersion = 0;
  #nextDaemonIndex = 0;

  constructor(trace: Trace, fleet: TestFleet) {
    this.#trace = trace;
    this.#fleet = fleet;
    this.#daemons = [...fleet.daemons];
    this.#plans = createInitialPlans(trace);
  }

  /** Carries out every event at its instant; resolves when all have ended. */
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
        return await this.#call(event);
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
        return await this.#forgetVm(event.serverId);
      case TraceEventKind.DaemonKill:
        return await this.#killDaemon(this.#daemonOf(event.daemonIndex));
      case TraceEventKind.DaemonFreeze:
        return this.#daemonOf(event.daemonIndex).clock.freeze();
      case TraceEventKind.DaemonThaw:
        return this.#daemonOf(event.daemonIndex).clock.thaw();
      case TraceEventKind.StoreOutage:
        return await this.#breakStore(event.durationMs);
      case TraceEventKind.ListEdit:
        this.#plans.set(event.customer, event.plan);
        return await this.#applyLists();
      default:
        return assertNever(event);
    }
  }

  /** Sends a request and repeats it elsewhere until it is answered. */
  async #call(event: TraceRequest): Promise<void> {
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
          deadlineAtMs: this.#fleet.clock.nowMs() + requestDeadlineMs,
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
    await this.#forgetVm(daemon.daemonId);
  }

  async #forgetVm(vmId: string): Promise<void> {
    await this.#fleet.clock.sleep(vmListLagMs);
    this.#fleet.removeVm(vmId);
  }

  async #breakStore(durationMs: number): Promise<void> {
    const { platform, clock } = this.#fleet;
    const healthy = platform.fault;
    platform.fault = { ...healthy, isDown: true };
    await clock.sleep(durationMs);
    platform.fault = healthy;
  }

  /** Edits the lists and waits until every running daemon has them. */
  async #applyLists(): Promise<void> {
    const { clock, daemons } = this.#fleet;
    const startedAtMs = clock.nowMs();
    const daemon = daemons.find((d) => !d.clock.isFrozen())!;
    const applied = await daemon.kernel.get(ServiceName.Lists).apply(
      createTraceLists(this.#plans),
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
    if (server === undefined) throw new Error(`no server ${serverId}`);
    return server;
  }

  #daemonOf(index: number): TestDaemon {
    const daemon = this.#daemons[index];
    if (daemon === undefined) throw new Error(`no daemon ${index}`);
    return daemon;
  }
}
