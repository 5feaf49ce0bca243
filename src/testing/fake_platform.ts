/**
 * A fake platform in memory. Faults that a test can inject: outage, delay,
 * answers lost after the write, daemons without a connection, and an outdated
 * list of VMs.
 */
import { err, ok, type Result } from "neverthrow";
import { PlatformState } from "../../standins/platform_state.ts";
import { MessageCode } from "../diagnostics/messages.ts";
import { ObjectStore } from "../host/object_store.ts";
import {
  PlatformTable,
  type TableRow,
  type TableWrite,
  type WriteResult,
} from "../host/platform_table.ts";
import { VmDirectory } from "../host/vm_directory.ts";
import { EventSource } from "../streams/event_source.ts";
import { AttemptOutcome } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";
import type { VmRecord } from "../types/types.ts";
import type { FreezableClock } from "./freezable_clock.ts";

/** The fault of the platform. */
export interface FakePlatformFault {
  readonly isDown: boolean;
  readonly delayMs: number;
  readonly losesWriteAnswers: boolean;
}

const timeoutMs = 1_000;

/** The platform that the daemons of one test share. */
export class FakePlatform {
  readonly state = new PlatformState();
  /** Applies to every daemon. */
  fault: FakePlatformFault = {
    isDown: false,
    delayMs: 0,
    losesWriteAnswers: false,
  };
  /** Daemons that cannot reach the platform. */
  readonly cutOff = new Set<string>();
  readCount = 0;
  writeCount = 0;
  /** Number of reads, by the first segment of the key, such as `lists` in `lists/active`. */
  readonly readCounts = new Map<string, number>();
  /** Number of transactions, by the first segment of their first key. */
  readonly writeCounts = new Map<string, number>();
}

/** Makes one call under the current faults, on the clock of the calling daemon. */
async function runCall<T>(
  platform: FakePlatform,
  caller: FakePlatformCaller,
  action: () => T,
  isWrite: boolean,
): Promise<Result<T, RouterError>> {
  const fault = platform.fault;
  if (fault.isDown || platform.cutOff.has(caller.daemonId)) {
    await caller.clock.sleep(timeoutMs);
    return err(createPlatformError(AttemptOutcome.NotSent));
  }
  await caller.clock.sleep(Math.min(fault.delayMs, timeoutMs));
  await caller.clock.waitUntilThawed();
  const value = action();
  if (fault.delayMs >= timeoutMs || (isWrite && fault.losesWriteAnswers)) {
    return err(createPlatformError(AttemptOutcome.Unknown));
  }
  await caller.clock.waitUntilThawed();
  return ok(value);
}

function createPlatformError(outcome: AttemptOutcome): RouterError {
  const code = outcome === AttemptOutcome.Unknown
    ? MessageCode.PlatformAnswerLost
    : MessageCode.PlatformUnavailable;
  return new RouterError(code, "call platform", { peer: "platform", outcome });
}

function countKey(counts: Map<string, number>, key: string): void {
  const kind = key.split("/")[0]!;
  counts.set(kind, (counts.get(kind) ?? 0) + 1);
}

/** The calling daemon and its clock. */
export interface FakePlatformCaller {
  readonly daemonId: string;
  readonly clock: FreezableClock;
}

/** One daemon's access to the table. */
export class FakePlatformTable extends PlatformTable {
  readonly #platform: FakePlatform;
  readonly #caller: FakePlatformCaller;

  constructor(platform: FakePlatform, caller: FakePlatformCaller) {
    super();
    this.#platform = platform;
    this.#caller = caller;
  }

  override read(
    key: string,
  ): Promise<Result<TableRow | undefined, RouterError>> {
    this.#platform.readCount += 1;
    countKey(this.#platform.readCounts, key);
    return this.#run(() => this.#platform.state.read(key), false);
  }

  override list(prefix: string): Promise<Result<TableRow[], RouterError>> {
    this.#platform.readCount += 1;
    countKey(this.#platform.readCounts, prefix);
    return this.#run(() => this.#platform.state.list(prefix), false);
  }

  override commit(
    writes: readonly TableWrite[],
  ): Promise<Result<WriteResult, RouterError>> {
    this.#platform.writeCount += 1;
    countKey(this.#platform.writeCounts, writes[0]?.key ?? "");
    return this.#run(() => this.#platform.state.commit(writes), true);
  }

  #run<T>(
    action: () => T,
    isWrite: boolean,
  ): Promise<Result<T, RouterError>> {
    return runCall(this.#platform, this.#caller, action, isWrite);
  }
}

/** One daemon's access to the object store. */
export class FakeObjectStore extends ObjectStore {
  readonly #platform: FakePlatform;
  readonly #caller: FakePlatformCaller;

  constructor(platform: FakePlatform, caller: FakePlatformCaller) {
    super();
    this.#platform = platform;
    this.#caller = caller;
  }

  override getObject(
    name: string,
  ): Promise<Result<string | undefined, RouterError>> {
    const { state } = this.#platform;
    const read = () => state.getObject(name);
    return runCall(this.#platform, this.#caller, read, false);
  }

  override putObject(
    name: string,
    content: string,
  ): Promise<Result<void, RouterError>> {
    const { state } = this.#platform;
    const write = () => state.putObject(name, content);
    return runCall(this.#platform, this.#caller, write, true);
  }
}

/** A list of VMs that changes only when the test publishes one. */
export class FakeVmDirectory extends VmDirectory {
  readonly #changes = new EventSource<readonly VmRecord[]>();
  #records: readonly VmRecord[] = [];
  override readonly changes = this.#changes.stream;

  override current(): readonly VmRecord[] {
    return this.#records;
  }

  /** Publishes a new list to this daemon. */
  publish(records: readonly VmRecord[]): void {
    this.#records = records;
    this.#changes.publish(records);
  }
}
