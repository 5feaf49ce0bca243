/**
 * A steady load of requests for a set of keys through the daemons of a test
 * fleet. Results are read from the backend servers' executions.
 */
import { computeLongestGapMs, findViolations } from "./invariant_checker.ts";
import type { Violation } from "./invariant_checker.ts";
import type { RoutedRequest } from "../types/types.ts";
import type { TestDaemon, TestFleet } from "./test_fleet.ts";

/** The load to send. */
export interface KeyTrafficOptions {
  readonly keyCount: number;
  readonly intervalMs: number;
  readonly deadlineMs: number;
}

const defaultOptions: KeyTrafficOptions = {
  keyCount: 24,
  intervalMs: 100,
  deadlineMs: 2_000,
};

/** Sends one request for each key in each interval. */
export class KeyTraffic {
  readonly #fleet: TestFleet;
  readonly #options: KeyTrafficOptions;
  readonly #excluded = new Set<TestDaemon>();
  #turn = 0;

  constructor(fleet: TestFleet, options: Partial<KeyTrafficOptions> = {}) {
    this.#fleet = fleet;
    this.#options = { ...defaultOptions, ...options };
  }

  /** Stops sending through a daemon, as a load balancer would. */
  exclude(daemon: TestDaemon): void {
    this.#excluded.add(daemon);
  }

  /** Resumes sending through a daemon. */
  include(daemon: TestDaemon): void {
    this.#excluded.delete(daemon);
  }

  /** Sends for `durationMs` of virtual time. */
  async run(durationMs: number): Promise<void> {
    const { intervalMs } = this.#options;
    for (let elapsed = 0; elapsed < durationMs; elapsed += intervalMs) {
      this.#sendAll();
      await this.#fleet.clock.advance(intervalMs);
    }
  }

  /**
   * The longest time since `fromMs` without an execution for any one key; the
   * whole time if some key had no execution.
   */
  longestGapMs(fromMs: number): number {
    const toMs = this.#fleet.clock.nowMs();
    const executions = this.#fleet.backends.executions();
    const gaps = computeLongestGapMs(executions, { fromMs, toMs });
    if (gaps.size < this.#options.keyCount) return toMs - fromMs;
    return Math.max(...gaps.values());
  }

  /** The longest time since `fromMs` in which a backend server started no execution. */
  longestGapOfServerMs(serverId: string, fromMs: number): number {
    const toMs = this.#fleet.clock.nowMs();
    const executions = this.#fleet.backends.executions()
      .filter((execution) => execution.serverId === serverId)
      .map((execution) => ({ ...execution, key: serverId }));
    const gaps = computeLongestGapMs(executions, { fromMs, toMs });
    return gaps.get(serverId) ?? toMs - fromMs;
  }

  /** The violations in the backend servers' executions. */
  violations(): readonly Violation[] {
    return findViolations(this.#fleet.backends.executions());
  }

  #sendAll(): void {
    const daemons = this.#fleet.daemons
      .filter((daemon) => !this.#excluded.has(daemon));
    for (let index = 0; index < this.#options.keyCount; index++) {
      const daemon = daemons[(this.#turn + index) % daemons.length]!;
      const request = this.#fleet.createRequest({
        key: `key-${index}`,
        deadlineAtMs: this.#fleet.clock.nowMs() + this.#options.deadlineMs,
      });
      void sendAndConsume(this.#fleet, { daemon, request });
    }
    this.#turn += 1;
  }
}

/** Sends a request and reads the answer to its end, which frees the slot. */
async function sendAndConsume(
  fleet: TestFleet,
  call: { readonly daemon: TestDaemon; readonly request: RoutedRequest },
): Promise<void> {
  try {
    const result = await fleet.deliver(call.daemon, call.request);
    if (result.isErr()) return;
    for await (const _chunk of result.value.body);
  } catch {
    // The answer broke off; the backend server has recorded the execution.
  }
}
