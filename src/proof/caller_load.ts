/**
 * Callers of a test fleet. They send reads and confirmations, and repeat a
 * confirmation through another daemon until it is answered. The outcome of each
 * attempt is kept for the comparison with the backend servers' executions.
 */
import { SeededRandomSource } from "../host/random_source.ts";
import { AttemptOutcome } from "../types/enums.ts";
import type { RoutedRequest } from "../types/types.ts";
import type { TestFleet } from "../testing/test_fleet.ts";

/** One attempt from its caller's point of view. */
export interface CallerAttempt {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  readonly key: string;
  readonly startedAtMs: number;
  readonly finishedAtMs: number;
  readonly outcome: AttemptOutcome;
  /** The answer's body; undefined unless the outcome is `Answered`. */
  readonly body: string | undefined;
  readonly error: string | undefined;
}

/** The load that the callers produce. */
export interface CallerLoadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly intervalMs: number;
  readonly keyCount: number;
  readonly repeatCount: number;
  readonly deadlineMs: number;
}

/** Starts callers at a fixed interval; resolves with all attempts. */
export async function runCallerLoad(
  fleet: TestFleet,
  options: CallerLoadOptions,
): Promise<CallerAttempt[]> {
  const random = new SeededRandomSource(options.seed);
  const attempts: CallerAttempt[] = [];
  const callers: Promise<void>[] = [];
  const callerCount = Math.floor(options.durationMs / options.intervalMs);
  for (let index = 0; index < callerCount; index++) {
    await fleet.clock.sleep(options.intervalMs);
    const key = `key-${random.nextInt(options.keyCount)}`;
    const daemonIndex = random.nextInt(fleet.daemons.length);
    const isConfirmation = index % 2 === 0;
    callers.push(
      isConfirmation
        ? confirm(fleet, options, { key, daemonIndex, index, attempts })
        : read(fleet, options, { key, daemonIndex, index, attempts }),
    );
  }
  await Promise.all(callers);
  return attempts;
}

interface CallerState {
  readonly key: string;
  readonly daemonIndex: number;
  readonly index: number;
  readonly attempts: CallerAttempt[];
}

/** Repeats a confirmation, each time through the next daemon, until it is answered. */
async function confirm(
  fleet: TestFleet,
  options: CallerLoadOptions,
  caller: CallerState,
): Promise<void> {
  for (let repeat = 0; repeat <= options.repeatCount; repeat++) {
    const request = fleet.createRequest({
      key: caller.key,
      method: "POST",
      isIdempotent: false,
      idempotencyKey: `confirmation-${options.seed}-${caller.index}`,
      deadlineAtMs: fleet.clock.nowMs() + options.deadlineMs,
    });
    const attempt = await sendAsCaller(
      fleet,
      request,
      caller.daemonIndex + repeat,
    );
    caller.attempts.push(attempt);
    if (attempt.outcome === AttemptOutcome.Answered) return;
  }
}

async function read(
  fleet: TestFleet,
  options: CallerLoadOptions,
  caller: CallerState,
): Promise<void> {
  const request = fleet.createRequest({
    key: caller.key,
    deadlineAtMs: fleet.clock.nowMs() + options.deadlineMs,
  });
  caller.attempts.push(await sendAsCaller(fleet, request, caller.daemonIndex));
}

/** Sends one request; stops waiting for the answer `answerGraceMs` after the deadline. */
export async function sendAsCaller(
  fleet: TestFleet,
  request: RoutedRequest,
  daemonIndex: number,
): Promise<CallerAttempt> {
  const daemon = fleet.daemons[daemonIndex % fleet.daemons.length]!;
  const startedAtMs = fleet.clock.nowMs();
  const settled = new AbortController();
  const timeout = fleet.clock.sleep(
    request.deadlineAtMs - startedAtMs + answerGraceMs,
    settled.signal,
  ).then(() => undefined);
  const answer = receive(fleet, request, { daemon, signal: settled.signal });
  const received = await Promise.race([answer, timeout]);
  settled.abort();
  return {
    requestId: request.requestId,
    idempotencyKey: request.idempotencyKey,
    key: request.key,
    startedAtMs,
    finishedAtMs: fleet.clock.nowMs(),
    ...(received ?? unanswered),
  };
}

const answerGraceMs = 500;
const unanswered = {
  outcome: AttemptOutcome.Unknown,
  body: undefined,
  error: "the caller gave up",
};

async function receive(
  fleet: TestFleet,
  request: RoutedRequest,
  options: {
    readonly daemon: TestFleet["daemons"][number];
    readonly signal: AbortSignal;
  },
): Promise<Pick<CallerAttempt, "outcome" | "body" | "error">> {
  const { daemon, signal } = options;
  const result = await fleet.deliver(daemon, request, signal);
  // A frozen or killed daemon sends its caller nothing.
  await daemon.clock.waitUntilThawed();
  if (result.isErr()) {
    const { outcome, message } = result.error;
    return { outcome, body: undefined, error: message };
  }
  let body = "";
  try {
    for await (const chunk of result.value.body) body += String(chunk);
  } catch (error) {
    return {
      outcome: AttemptOutcome.Unknown,
      body: undefined,
      error: String(error),
    };
  }
  return { outcome: AttemptOutcome.Answered, body, error: undefined };
}
