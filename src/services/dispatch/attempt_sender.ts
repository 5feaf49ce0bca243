/**
 * Sends a request to a backend server once, and updates the statistics of the
 * server from the result: its service time, its load and its failures. Whether
 * to retry is decided by the caller.
 */
import { Readable } from "node:stream";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { SendEnding, type SendResult } from "../../host/server_link.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ServerLoad } from "../../types/routing.ts";
import type { ServerCandidate } from "./choose_server.ts";
import {
  type DeliveredAnswer,
  isFailure,
  isRepeatable,
  type RoutedCall,
} from "./dispatch.ts";
import { readAnswer } from "./read_answer.ts";
import { IdleLimits } from "./idle_limits.ts";
import { RunningAttempt } from "./running_attempt.ts";
import type { ServerFinder } from "./server_finder.ts";
import { FailureWeight } from "./server_statistics.ts";

/** The result of one attempt. */
export interface Attempt {
  readonly ending: SendEnding;
  /** Whether any byte of the request was sent. */
  readonly wasSent: boolean;
  readonly answer?: DeliveredAnswer;
  /** Whether the server reported a free slot with its refusal, so that the next request may be accepted. */
  readonly hadFreeSlot?: boolean;
  /** Description for the log. */
  readonly description: string;
}

function hasFreeSlot(load: ServerLoad | undefined): boolean {
  return load !== undefined && load.waitingCount === 0 &&
    load.runningCount < load.slotCount;
}

function describeFailure({ ending, detail = "", load }: SendResult): string {
  const loadText = load === undefined
    ? ""
    : `, ${load.runningCount} of ${load.slotCount} slots in use, ` +
      `${load.waitingCount} waiting`;
  return `${ending}: ${detail}${loadText}`;
}

/** An attempt whose answer has begun to arrive. */
interface SentAttempt {
  readonly candidate: ServerCandidate;
  readonly running: RunningAttempt;
  readonly result: SendResult;
}

/** Makes the attempts of one daemon. */
export class AttemptSender {
  readonly #services: ServiceLookup;
  readonly #finder: ServerFinder;
  readonly #idleLimits = new IdleLimits();

  constructor(services: ServiceLookup, finder: ServerFinder) {
    this.#services = services;
    this.#finder = finder;
  }

  /** Sends the request once; reads the body of the answer unless it is large. */
  async send(call: RoutedCall, candidate: ServerCandidate): Promise<Attempt> {
    const services = this.#services;
    const clock = services.get(ServiceName.Clock);
    const running = new RunningAttempt(clock, call, candidate);
    const result = await services.get(ServiceName.ServerLink).send(
      candidate.server,
      {
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        requestId: call.requestId,
        timeoutMs: running.timeoutMs,
        maxIdleMs: this.#idleLimits.getLimitMs(call.service, running.sentAtMs),
      },
      { signal: running.signal, onSent: () => running.wasSent = true },
    );
    this.#noteAnswerHead(call, { candidate, running, result });
    if (result.ending === SendEnding.Answered) {
      return await this.#receive(call, { candidate, running, result });
    }
    this.#end(running);
    this.#noteFailure(call, { ...candidate, result });
    this.#noteRejection(candidate, { running, result });
    return {
      ending: result.ending,
      wasSent: running.wasSent,
      hadFreeSlot: result.ending === SendEnding.NotRun &&
        result.pauseMs === undefined && hasFreeSlot(result.load),
      description: describeFailure(result),
    };
  }

  /** Updates what is known of the server and its connections from the head of its answer. */
  #noteAnswerHead(
    { service }: RoutedCall,
    { candidate, running, result }: SentAttempt,
  ): void {
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    const { idleMs, load } = result;
    if (idleMs !== undefined) {
      const brokenAfterMs = nowMs - running.sentAtMs;
      this.#idleLimits.noteBroken(service, { idleMs, brokenAfterMs, nowMs });
    }
    if (load !== undefined) candidate.statistics.noteLoad(load, nowMs);
    this.#finder.noteServerState(candidate, result);
  }

  /** Reads the body of an answer; a large one ends the attempt only when the caller has received it. */
  async #receive(
    call: RoutedCall,
    sent: SentAttempt,
  ): Promise<Attempt> {
    const { running, result } = sent;
    const { wasSent } = running;
    try {
      const answer = await readAnswer(result.answer!, call.answerMemory);
      if (
        answer.endsWithConnection && isRepeatable(call) &&
        !call.mayCloseConnection()
      ) {
        running.abort();
        this.#end(running);
        return {
          ending: SendEnding.Broken,
          wasSent,
          description:
            "the answer has no length, but other answers follow it on the caller's connection",
        };
      }
      const durationMs = this.#services.get(ServiceName.Clock).nowMs() -
        running.sentAtMs;
      const noteServed = () =>
        this.#noteServed(call, { ...sent, answer, durationMs });
      if (answer.body instanceof Readable) {
        answer.body.once("end", noteServed);
        answer.body.once("error", () => this.#noteBodyFailure(call, sent));
        answer.body.once("close", () => this.#end(running));
      } else {
        this.#end(running);
        noteServed();
      }
      return {
        ending: SendEnding.Answered,
        wasSent,
        answer,
        description: `status ${answer.status}`,
      };
    } catch (error) {
      this.#end(running);
      this.#noteBodyFailure(call, sent);
      return {
        ending: running.signal.aborted
          ? SendEnding.Cancelled
          : SendEnding.Broken,
        wasSent,
        description: `answer cut short: ${error}`,
      };
    }
  }

  #end(running: RunningAttempt): void {
    running.end();
    this.#finder.notifyRoom(running.server);
  }

  /** Updates the server's statistics after a whole answer. */
  #noteServed(
    call: RoutedCall,
    { candidate, running, result, answer, durationMs }: SentAttempt & {
      readonly answer: DeliveredAnswer;
      readonly durationMs: number;
    },
  ): void {
    if (isFailure(answer)) {
      return this.#noteFailure(call, { ...candidate, result });
    }
    const services = this.#services;
    candidate.statistics.noteAnswer(services.get(ServiceName.Clock).nowMs());
    services.get(ServiceName.Capacities).noteAnswer(candidate.server, {
      route: call.route.name,
      durationMs,
      loadAtSend: running.loadAtSend,
      wasQueueing: (result.load?.waitingCount ?? 0) > 0,
    });
  }

  /** Learns from a refusal of a server that reports that it is full. */
  #noteRejection(
    { server }: ServerCandidate,
    { running, result: { ending, load } }: Pick<
      SentAttempt,
      "running" | "result"
    >,
  ): void {
    if (ending !== SendEnding.NotRun || load === undefined) return;
    if (hasFreeSlot(load)) return;
    const loadAtSend = Math.max(
      running.loadAtSend,
      load.runningCount + load.waitingCount,
    );
    this.#services.get(ServiceName.Capacities)
      .noteRejection(server, loadAtSend);
  }

  /** A body that does not end before the deadline counts like no answer. */
  #noteBodyFailure(
    call: RoutedCall,
    { candidate, running, result }: SentAttempt,
  ): void {
    const ending = running.signal.aborted
      ? SendEnding.Cancelled
      : result.ending;
    this.#noteFailure(call, { ...candidate, result: { ...result, ending } });
  }

  #noteFailure(
    call: RoutedCall,
    { server, statistics, result }: ServerCandidate & {
      readonly result: SendResult;
    },
  ): void {
    // A disconnect of the caller is no failure of the server.
    if (call.disconnectSignal.aborted) return;
    const nowMs = this.#services.get(ServiceName.Clock).nowMs();
    // A refusal by a full server does not make it unreachable.
    const isAlive = result.ending === SendEnding.NotRun ||
      result.ending === SendEnding.AmbiguousRefusal ||
      result.ending === SendEnding.Answered ||
      // A full server resets some connections while it answers on others.
      (result.ending === SendEnding.Broken &&
        statistics.hasAnsweredRecently(nowMs));
    if (isAlive) return statistics.noteRefusal();
    // The loss of a key to another owner is no sign of bad health.
    const isMove = result.ending === SendEnding.WrongServer;
    if (isMove && call.key !== undefined) return;
    const weight = result.ending === SendEnding.Cancelled
      ? FailureWeight.Timeout
      : FailureWeight.Connection;
    const isUnconfirmed = weight === FailureWeight.Connection &&
      this.#services.get(ServiceName.ColdServers).noteBroken(server);
    if (!statistics.noteFailure(weight)) {
      if (isUnconfirmed) {
        void this.#finder.checkHealthUntilUsable({ server, statistics });
      }
      return;
    }
    this.#services.get(ServiceName.Log).write(LogEvent.ServerAvoided, {
      server: server.id,
      peer: server.address,
      service: server.service,
      ending: result.ending,
      reason: result.detail,
    });
    void this.#finder.checkHealthUntilUsable({ server, statistics });
  }
}
