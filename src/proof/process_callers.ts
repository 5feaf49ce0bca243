/**
 * Callers of daemons that run as processes: each sends confirmations with
 * idempotency keys and repeats one at the next daemon until it is answered or
 * its attempts are used up.
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
const attemptLimit = 6;
const pauseMs = 60;
const deadlineMs = 2_000;
const giveUpMs = 6_000;
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
    this.#tasks = Array.from({ length: callerCount }, () => this.#call());
  }

  /** Lets every confirmation in progress end. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await Promise.all(this.#tasks);
  }

  /** Keys answered by attempts that began at or after the given time. */
  countAnsweredKeys(sinceMs: number): number {
    const answered = this.attempts.filter(({ outcome, startedAtMs }) =>
      outcome === AttemptOutcome.Answered && startedAtMs >= sinceMs
    );
    return new Set(answered.map(({ key }) => key)).size;
  }

  /** The number of keys in use. */
  get keyCount(): number {
    return keyCount;
  }

  async #call(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.#confirm(this.#sentCount++);
      await delay(pauseMs);
    }
  }

  async #confirm(index: number): Promise<void> {
    for (let attempt = 0; attempt < attemptLimit; attempt++) {
      const turn = (index + attempt) % this.#addresses.length;
      const result = await send(this.#addresses[turn]!, index);
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
  const facts = { key, idempotencyKey, startedAtMs };
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
        signal: AbortSignal.timeout(giveUpMs),
      },
    );
    const body = await answer.body.text();
    const isAnswered = answer.statusCode === statusOk;
    return {
      ...facts,
      requestId: String(answer.headers["skylark-request-id"] ?? ""),
      finishedAtMs: Date.now(),
      outcome: isAnswered
        ? AttemptOutcome.Answered
        : readOutcome(answer.headers["skylark-outcome"]),
      body,
      error: isAnswered ? undefined : body,
    };
  } catch (error) {
    return {
      ...facts,
      requestId: "",
      finishedAtMs: Date.now(),
      outcome: AttemptOutcome.Unknown,
      body: undefined,
      error: String(error),
    };
  }
}

/** The outcome that a refusal states; unknown when it states none. */
function readOutcome(header: string | string[] | undefined): AttemptOutcome {
  const outcomes = Object.values(AttemptOutcome);
  return outcomes.find((outcome) => outcome === header) ??
    AttemptOutcome.Unknown;
}

/** Runs that never ended count as ended at `endedAtMs`. */
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
