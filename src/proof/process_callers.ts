/**
 * Callers of daemons that run as processes. Each caller sends confirmations with
 * idempotency keys, and repeats a confirmation at the next daemon until it is
 * answered or the maximum number of attempts is reached.
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { ExecutionRecord } from "../../standins/backend/execution_log.ts";
import type { FakeExecution } from "../testing/fake_backend.ts";
import { AttemptOutcome } from "../types/enums.ts";
import type { CallerAttempt } from "./caller_load.ts";

/** The service that the callers use. */
export const confirmationService = "confirmation";

const customer = "cuadrillas-members";
const callerCount = 6;
const keyCount = 24;
const maxAttempts = 6;
const pauseMs = 60;
const deadlineMs = 2_000;
const requestTimeoutMs = 6_000;
const statusOk = 200;

/** Sends confirmations until it is stopped. */
export class ProcessCallers {
  readonly attempts: CallerAttempt[] = [];
  readonly #addresses: readonly string[];
  readonly #stopped = new AbortController();
  #tasks: readonly Promise<void>[] = [];
  #sentCount = 0;

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
  }

  /** Starts one task for each caller. */
  start(): void {
    this.#tasks = Array.from({ length: callerCount }, () => this.#runCaller());
  }

  /** Starts no more confirmations; resolves when those in progress have ended. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await Promise.all(this.#tasks);
  }

  /** Counts the keys with an answered attempt that was sent at or after `earliestAtMs`. */
  countAnsweredKeys(earliestAtMs: number): number {
    const answered = this.attempts.filter(({ outcome, startedAtMs }) =>
      outcome === AttemptOutcome.Answered && startedAtMs >= earliestAtMs
    );
    return new Set(answered.map(({ key }) => key)).size;
  }

  get keyCount(): number {
    return keyCount;
  }

  async #runCaller(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.#confirm(this.#sentCount++);
      await delay(pauseMs);
    }
  }

  async #confirm(index: number): Promise<void> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const addressIndex = (index + attempt) % this.#addresses.length;
      const result = await send(this.#addresses[addressIndex]!, index);
      this.attempts.push(result);
      if (result.outcome === AttemptOutcome.Answered) return;
      await delay(pauseMs);
    }
  }
}

async function send(address: string, index: number): Promise<CallerAttempt> {
  const key = `farm-${index % keyCount}`;
  const idempotencyKey = `confirmation-${index}`;
  const startedAtMs = Date.now();
  const base = { key, idempotencyKey, startedAtMs };
  try {
    const answer = await request(
      `http://${address}/${confirmationService}/${key}/shift`,
      {
        method: "POST",
        body: idempotencyKey,
        headers: {
          "skylark-customer": customer,
          "skylark-deadline-ms": String(deadlineMs),
          "idempotency-key": idempotencyKey,
        },
        signal: AbortSignal.timeout(requestTimeoutMs),
      },
    );
    const body = await answer.body.text();
    const isAnswered = answer.statusCode === statusOk;
    return {
      ...base,
      requestId: String(answer.headers["skylark-request-id"] ?? ""),
      finishedAtMs: Date.now(),
      outcome: isAnswered
        ? AttemptOutcome.Answered
        : parseOutcome(answer.headers["skylark-outcome"]),
      body,
      error: isAnswered ? undefined : body,
    };
  } catch (error) {
    return {
      ...base,
      requestId: "",
      finishedAtMs: Date.now(),
      outcome: AttemptOutcome.Unknown,
      body: undefined,
      error: String(error),
    };
  }
}

/** Parses the outcome header of a refusal; `Unknown` if it is missing or invalid. */
function parseOutcome(header: string | string[] | undefined): AttemptOutcome {
  const outcomes = Object.values(AttemptOutcome);
  return outcomes.find((outcome) => outcome === header) ??
    AttemptOutcome.Unknown;
}

/** Converts a record; an execution that did not finish gets `endedAtMs` as its end. */
export function toExecution(
  record: ExecutionRecord,
  endedAtMs: number,
): FakeExecution {
  const { serverId, service, key, requestId, fence, startedWallMs } = record;
  const isEnded = record.finishedWallMs > 0;
  return {
    ...{ serverId, service, key, requestId, fence },
    idempotencyKey: record.idempotencyKey,
    isIdempotent: record.method !== "POST",
    startedAtMs: startedWallMs,
    finishedAtMs: isEnded ? record.finishedWallMs : endedAtMs,
  };
}
