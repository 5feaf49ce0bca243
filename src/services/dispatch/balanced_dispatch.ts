/**
 * Sends each request straight to a backend server: to the owner of its key, or
 * to the least loaded server of its service. Decides what may be sent again
 * from the route's kind and from how the last send ended, and nothing else.
 */
import { Readable } from "node:stream";
import { SendEnding, type SendResult } from "../../host/server_link.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { assertNever } from "../../types/errors.ts";
import {
  incarnationOf,
  RequestKind,
  type RoutingTable,
  type ServerEntry,
} from "../../types/routing.ts";
import { OwnershipState } from "../keyspace/key_space.ts";
import {
  type Choice,
  type ChoiceContext,
  isFull,
  tryChooseServer,
} from "./choose_server.ts";
import {
  type DeliveredAnswer,
  type Delivery,
  DeliveryEnding,
  DeliveryReason,
  Dispatch,
  type RoutedCall,
} from "./dispatch.ts";
import { CounterName } from "../metrics/metrics.ts";
import { readAnswer } from "./read_answer.ts";
import { RetryAllowance, type RetryBounds } from "./retry_allowance.ts";
import { FailureEvidence, ServerFigures } from "./server_book.ts";
import { createStopController } from "../../streams/stop_controller.ts";

/** Part of a server's connections that the fleet uses; the rest is for orders and for daemons that join. */
const connectionShare = 0.8;
const minConnections = 2;
/** Part of the objective for which a request waits for room at a server. */
const waitShare = 0.08;
/** As `waitShare`, for a key that is about to be served by its next owner. */
const movingWaitShare = 0.7;
/** Bounds of the time after which a caller is told to come back. */
const comeBackMs = { least: 80, most: 250 };
/** As `comeBackMs`, for keys without an owner. */
const unownedComeBackMs = { least: 300, most: 700 };
/** Pauses between probes of a server that is avoided. */
const probePauseMs = { first: 300, most: 2_000 };
/** Longest wait for a probe's answer; probes wait for a slot like requests. */
const probeTimeoutMs = 1_000;
const statusServerError = 500;

/** Settings of dispatch. */
export interface BalancedDispatchOptions {
  readonly zone: string;
  readonly retryBounds: RetryBounds;
}

/** A server for the next send, or why there is none. */
type Acquired =
  | { readonly choice: Choice }
  | {
    readonly reason: DeliveryReason;
    readonly retryAfterMs: number;
    /** The figures that decided, for the log. */
    readonly detail?: string;
  };

/** Sends requests to backend servers. */
export class BalancedDispatch extends Dispatch {
  readonly #options: BalancedDispatchOptions;
  readonly #allowance: RetryAllowance;
  readonly #figures = new Map<string, ServerFigures>();
  readonly #roomChanged = new ChangeSignal();
  readonly #stopping = createStopController();
  readonly #priorities = new Map<string, number>();
  #prioritiesOf: RoutingTable | undefined;
  #services: ServiceLookup | undefined;

  constructor(options: BalancedDispatchOptions) {
    super();
    this.#options = options;
    this.#allowance = new RetryAllowance(options.retryBounds);
  }

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.ServerLink,
      ServiceName.Routing,
      ServiceName.Directory,
      ServiceName.KeySpace,
      ServiceName.LoadReports,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    void this.#forgetServers(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return Promise.resolve();
  }

  override async deliver(call: RoutedCall): Promise<Delivery> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    if (call.key !== undefined) {
      services.get(ServiceName.LoadReports)
        .noteRequest(call.service, call.key);
    }
    this.#allowance.noteRequest(call.service, clock.nowMs());
    const trail: string[] = [];
    const tried = new Set<string>();
    const arrivedAtMs = clock.nowMs();
    let sendCount = 0;
    let server: string | undefined;
    let mayHaveRun = false;
    let failedAnswer: DeliveredAnswer | undefined;
    const end = (
      ending: DeliveryEnding,
      reason: DeliveryReason,
      more: Partial<Delivery> = {},
    ): Delivery => ({ ending, reason, server, sendCount, trail, ...more });
    /** Ends a request that is not sent again. */
    const giveUp = (
      reason: DeliveryReason,
      retryAfterMs = this.#draw(comeBackMs),
    ): Delivery => {
      if (failedAnswer !== undefined) {
        return end(DeliveryEnding.Answered, reason, { answer: failedAnswer });
      }
      return mayHaveRun
        ? end(DeliveryEnding.Unknown, DeliveryReason.AnswerLost)
        : end(DeliveryEnding.NotRun, reason, { retryAfterMs });
    };

    for (;;) {
      const acquired = await this.#acquire(call, { tried, arrivedAtMs });
      if (call.callerLeft.aborted) {
        return end(DeliveryEnding.CallerLeft, DeliveryReason.None);
      }
      if (!("choice" in acquired)) {
        if (acquired.detail !== undefined) trail.push(acquired.detail);
        return giveUp(acquired.reason, acquired.retryAfterMs);
      }
      if (sendCount > 0 && !this.#trySpendRepeat(call)) {
        services.get(ServiceName.Metrics)
          .count(CounterName.RetryBudgetRefusals, call.service);
        return giveUp(DeliveryReason.RetryBudget);
      }
      const { choice } = acquired;
      server = choice.server.id;
      const attempt = await this.#attempt(call, choice);
      trail.push(`${server} ${attempt.note}`);
      this.#countAttempt(attempt, sendCount);
      if (attempt.wasSent) {
        sendCount += 1;
        tried.add(server);
      }
      switch (attempt.ending) {
        case SendEnding.Answered: {
          const isFailure = attempt.answer!.status >= statusServerError;
          if (!isFailure || !isRepeatable(call) || call.key !== undefined) {
            return end(DeliveryEnding.Answered, DeliveryReason.None, {
              answer: attempt.answer!,
            });
          }
          failedAnswer = attempt.answer;
          break;
        }
        case SendEnding.NotConnected:
          tried.add(server);
          break;
        case SendEnding.NotRun:
        case SendEnding.WrongServer:
          break;
        case SendEnding.Broken:
          mayHaveRun = true;
          if (!isRepeatable(call)) return giveUp(DeliveryReason.AnswerLost);
          break;
        case SendEnding.Cancelled:
          return call.callerLeft.aborted
            ? end(DeliveryEnding.CallerLeft, DeliveryReason.None)
            : end(DeliveryEnding.TimedOut, DeliveryReason.Deadline);
        default:
          assertNever(attempt.ending);
      }
      if (sendCount >= call.route.maxAttempts) {
        return giveUp(DeliveryReason.AttemptsSpent);
      }
      if (call.body instanceof Readable && attempt.wasSent) {
        return giveUp(DeliveryReason.AttemptsSpent);
      }
      // The owner alone may run the request: sending it there again at once
      // would only repeat the refusal.
      if (call.key !== undefined && attempt.ending === SendEnding.NotRun) {
        return giveUp(DeliveryReason.Overloaded);
      }
    }
  }

  #countAttempt({ ending, wasSent }: Attempt, earlierCount: number): void {
    const metrics = this.#services!.get(ServiceName.Metrics);
    if (wasSent) metrics.count(CounterName.AttemptsSent, ending);
    if (wasSent && earlierCount > 0) metrics.count(CounterName.AttemptsRetried);
  }

  #trySpendRepeat({ service }: RoutedCall): boolean {
    const services = this.#services!;
    return this.#allowance.trySpend(service, {
      nowMs: services.get(ServiceName.Clock).nowMs(),
      daemonCount: services.get(ServiceName.KeySpace).daemonCount(),
    });
  }

  /** Waits a short time for a server that may take the request. */
  async #acquire(
    call: RoutedCall,
    options: {
      readonly tried: ReadonlySet<string>;
      readonly arrivedAtMs: number;
    },
  ): Promise<Acquired> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    for (;;) {
      const found = call.key === undefined
        ? this.#chooseAny(call, options.tried)
        : this.#chooseOwner(call, options.tried);
      if ("choice" in found || call.callerLeft.aborted) return found;
      const isMoving = found.reason === DeliveryReason.KeyMoving;
      const mayWait = isMoving || found.reason === DeliveryReason.Overloaded;
      const share = isMoving ? movingWaitShare : waitShare;
      const untilMs = Math.min(
        call.deadlineAtMs,
        options.arrivedAtMs + call.route.objectiveMs * share,
      );
      const durationMs = untilMs - clock.nowMs();
      if (!mayWait || durationMs <= 0) return found;
      const changed = isMoving
        ? services.get(ServiceName.KeySpace).changed
        : this.#roomChanged;
      await changed.waitAtMost(clock, {
        durationMs,
        seenCount: changed.count,
        signal: call.callerLeft,
      });
    }
  }

  #chooseAny(call: RoutedCall, tried: ReadonlySet<string>): Acquired {
    const services = this.#services!;
    const servers = services.get(ServiceName.Directory)
      .usableServers(call.service);
    const choices = servers
      .map((server) => ({ server, figures: this.#figuresOf(server) }))
      .filter(({ server, figures }) =>
        !figures.isAvoided && !tried.has(server.id)
      );
    if (choices.length === 0) {
      const detail = `${servers.length} servers, ${tried.size} tried`;
      return this.#refuse(DeliveryReason.NoServer, { detail });
    }
    const choice = tryChooseServer(choices, {
      ...this.#contextOf(call),
      random: services.get(ServiceName.Random),
    });
    return choice === undefined
      ? this.#refuse(DeliveryReason.Overloaded, {
        detail: `all ${choices.length} servers full`,
      })
      : { choice };
  }

  #chooseOwner(call: RoutedCall, tried: ReadonlySet<string>): Acquired {
    const services = this.#services!;
    const owner = services.get(ServiceName.KeySpace)
      .ownerOf(call.service, call.key!);
    if (owner.state === OwnershipState.Moving) {
      return this.#refuse(DeliveryReason.KeyMoving);
    }
    if (owner.server === undefined) {
      return this.#refuse(DeliveryReason.KeyUnowned, {
        bounds: unownedComeBackMs,
      });
    }
    const { id, bornAtMs } = owner.server;
    const server = services.get(ServiceName.Directory).tryGet(id);
    if (server === undefined || server.bornAtMs !== bornAtMs) {
      return this.#refuse(DeliveryReason.KeyUnowned, {
        bounds: unownedComeBackMs,
        detail: `owner ${id} is gone`,
      });
    }
    if (server.isDraining || tried.has(id)) {
      return this.#refuse(DeliveryReason.KeyMoving, {
        detail: `owner ${id} ${server.isDraining ? "drains" : "was tried"}`,
      });
    }
    const choice = { server, figures: this.#figuresOf(server) };
    if (choice.figures.isAvoided) {
      return this.#refuse(DeliveryReason.OwnerUnreachable, {
        bounds: unownedComeBackMs,
        detail: `owner ${id} is avoided`,
      });
    }
    const context = this.#contextOf(call);
    if (!isFull(choice, context)) return { choice };
    const { figures } = choice;
    return this.#refuse(DeliveryReason.Overloaded, {
      detail: `owner ${id} full: load ${
        figures.loadAt(context.nowMs).toFixed(1)
      }, own ${figures.inFlightCount}, work ${figures.serviceMs.toFixed(0)} ms`,
    });
  }

  #refuse(
    reason: DeliveryReason,
    options: {
      readonly bounds?: typeof comeBackMs;
      readonly detail?: string;
    } = {},
  ): Acquired {
    const { bounds = comeBackMs, detail } = options;
    const retryAfterMs = this.#draw(bounds);
    return {
      reason,
      retryAfterMs,
      ...(detail === undefined ? {} : { detail }),
    };
  }

  #draw({ least, most }: typeof comeBackMs): number {
    const random = this.#services!.get(ServiceName.Random);
    return least + (most - least) * random.nextFraction();
  }

  #contextOf(call: RoutedCall): ChoiceContext {
    const services = this.#services!;
    const table = services.get(ServiceName.Routing).current();
    const daemonCount = services.get(ServiceName.KeySpace).daemonCount();
    const maxConnections = table?.services.get(call.service)?.maxConnections ??
      minConnections;
    return {
      route: call.route,
      zone: this.#options.zone,
      nowMs: services.get(ServiceName.Clock).nowMs(),
      maxInFlight: Math.max(
        minConnections,
        Math.floor(maxConnections * connectionShare / daemonCount),
      ),
      isYielding: this.#highestPriorityOf(call.service) < call.route.priority,
    };
  }

  /** The most urgent priority among the routes of a service. */
  #highestPriorityOf(service: string): number {
    const table = this.#services!.get(ServiceName.Routing).current();
    if (table !== this.#prioritiesOf) {
      this.#prioritiesOf = table;
      this.#priorities.clear();
      for (const { targets, priority } of table?.routes ?? []) {
        for (const target of targets) {
          const known = this.#priorities.get(target.service) ?? Infinity;
          this.#priorities.set(target.service, Math.min(known, priority));
        }
      }
    }
    return this.#priorities.get(service) ?? Infinity;
  }

  /** Sends once, and reads the answer as far as it is kept. */
  async #attempt(
    call: RoutedCall,
    { server, figures }: Choice,
  ): Promise<Attempt> {
    const services = this.#services!;
    const clock = services.get(ServiceName.Clock);
    const limit = new AbortController();
    const isKept = !isRepeatable(call);
    const leave = () => limit.abort();
    // Work that must not repeat runs on when its caller leaves: its outcome
    // would be unknown otherwise.
    if (!isKept) call.callerLeft.addEventListener("abort", leave);
    const sentAtMs = clock.nowMs();
    const timeoutMs = call.deadlineAtMs - sentAtMs;
    const cancelTimer = clock.after(timeoutMs, leave);
    const loadAtSend = figures.loadAt(sentAtMs);
    let wasSent = false;
    figures.inFlightCount += 1;
    const finish = () => {
      cancelTimer();
      call.callerLeft.removeEventListener("abort", leave);
      figures.inFlightCount -= 1;
      this.#roomChanged.notify();
    };
    const result = await services.get(ServiceName.ServerLink).send(server, {
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
      requestId: call.requestId,
      timeoutMs,
    }, { signal: limit.signal, onSent: () => wasSent = true });
    if (result.load !== undefined) figures.noteLoad(result.load, clock.nowMs());
    if (result.ending !== SendEnding.Answered) {
      finish();
      this.#noteFailure(call, { server, figures, result });
      return {
        ending: result.ending,
        wasSent,
        note: `${result.ending}: ${result.detail ?? ""}`,
      };
    }
    try {
      const answer = await readAnswer(result.answer!);
      if (
        answer.endsWithConnection && isRepeatable(call) &&
        !call.mayEndConnection()
      ) {
        finish();
        return {
          ending: SendEnding.Broken,
          wasSent,
          note: "an answer without a length cannot precede other answers",
        };
      }
      const durationMs = clock.nowMs() - sentAtMs;
      if (answer.status >= statusServerError) {
        this.#noteFailure(call, { server, figures, result });
      } else {
        const { slotCount } = server;
        figures.noteAnswer(durationMs, { loadAtSend, slotCount });
        if (loadAtSend + 1 <= slotCount) {
          services.get(ServiceName.LoadReports)
            .noteWork(incarnationOf(server), durationMs);
        }
      }
      if (answer.body instanceof Readable) answer.body.once("close", finish);
      else finish();
      return {
        ending: SendEnding.Answered,
        wasSent,
        answer,
        note: `status ${answer.status}`,
      };
    } catch (error) {
      finish();
      this.#noteFailure(call, { server, figures, result });
      return {
        ending: limit.signal.aborted ? SendEnding.Cancelled : SendEnding.Broken,
        wasSent,
        note: `answer cut short: ${error}`,
      };
    }
  }

  #noteFailure(
    call: RoutedCall,
    { server, figures, result }: Choice & { readonly result: SendResult },
  ): void {
    // A caller that leaves says nothing about the server, nor does a refusal
    // by a server that is merely full.
    if (call.callerLeft.aborted) return;
    const isAlive = result.ending === SendEnding.NotRun ||
      result.ending === SendEnding.Answered;
    if (isAlive) return figures.noteRefusal();
    // A server that no longer owns a key says nothing about its health.
    const isMove = result.ending === SendEnding.WrongServer;
    if (isMove && call.key !== undefined) return;
    const evidence = result.ending === SendEnding.Cancelled
      ? FailureEvidence.Silence
      : FailureEvidence.Connection;
    if (!figures.noteFailure(evidence)) return;
    this.#services!.get(ServiceName.Log).warn("server avoided", {
      server: server.id,
      peer: server.address,
      service: server.service,
      ending: result.ending,
      reason: result.detail,
    });
    void this.#probe({ server, figures });
  }

  /** Probes a server that is avoided, until it answers or is gone. */
  async #probe({ server, figures }: Choice): Promise<void> {
    const services = this.#services!;
    const { signal } = this.#stopping;
    const clock = services.get(ServiceName.Clock);
    let pauseMs = probePauseMs.first;
    while (!signal.aborted) {
      await clock.sleep(pauseMs, signal);
      pauseMs = Math.min(probePauseMs.most, pauseMs * 2);
      const present = services.get(ServiceName.Directory).tryGet(server.id);
      if (present?.bornAtMs !== server.bornAtMs || signal.aborted) return;
      const path = services.get(ServiceName.Routing).current()
        ?.services.get(server.service)?.healthPath;
      if (path === undefined) return;
      services.get(ServiceName.Metrics).count(CounterName.ProbesSent);
      const probe = await services.get(ServiceName.ServerLink)
        .probe(server, { path, timeoutMs: probeTimeoutMs });
      if (!probe.isHealthy) continue;
      figures.readmit();
      services.get(ServiceName.Log).info("server readmitted", {
        server: server.id,
        peer: server.address,
      });
      this.#roomChanged.notify();
      return;
    }
  }

  #figuresOf(server: ServerEntry): ServerFigures {
    const name = incarnationOf(server);
    let figures = this.#figures.get(name);
    if (figures === undefined) {
      figures = new ServerFigures();
      this.#figures.set(name, figures);
    }
    return figures;
  }

  /** Drops the figures of servers that are gone. */
  async #forgetServers(services: ServiceLookup): Promise<void> {
    const { signal } = this.#stopping;
    const directory = services.get(ServiceName.Directory);
    while (!signal.aborted) {
      await directory.changed.wait(signal);
      for (const [name, figures] of this.#figures) {
        const id = name.slice(0, name.lastIndexOf("@"));
        const present = directory.tryGet(id);
        const isGone = present === undefined || incarnationOf(present) !== name;
        if (isGone && figures.inFlightCount === 0) this.#figures.delete(name);
      }
      this.#roomChanged.notify();
    }
  }
}

/** What one send came to. */
interface Attempt {
  readonly ending: SendEnding;
  readonly wasSent: boolean;
  readonly answer?: DeliveredAnswer;
  readonly note: string;
}

/** Whether a request may run more than once. */
function isRepeatable({ route }: RoutedCall): boolean {
  return route.kind !== RequestKind.NonIdempotent;
}
