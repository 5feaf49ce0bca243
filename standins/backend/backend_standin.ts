/**
 * Simulates a backend server: slots behind a FIFO queue, optional checks of
 * grants, drain, cold start, shedding, cancellation and start deadlines.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import { RefusalReason } from "../../src/types/enums.ts";
import { sendAnswer } from "./answer.ts";
import {
  type Behaviour,
  changeBehaviour,
  defaultBehaviour,
} from "./behaviour.ts";
import { ExecutionLog } from "./execution_log.ts";
import { GrantBook } from "./grant_book.ts";
import { LoadReporter } from "./load_report.ts";
import {
  readReceivedRequest,
  type ReceivedRequest,
} from "./received_request.ts";
import { SlotQueue } from "./slot_queue.ts";

const statusRefused = 409;
const statusBadRequest = 400;

/** The HTTP server of one simulated backend server. */
export class BackendStandin {
  readonly server: Server;
  readonly #serverId: string;
  readonly #grants = new GrantBook(() => performance.now());
  readonly #log: ExecutionLog;
  readonly #reporter = new LoadReporter();
  readonly #slots = new SlotQueue(() => this.#behaviour.slotCount);
  readonly #startedAtMs = performance.now();
  #behaviour: Behaviour;

  constructor(
    serverId: string,
    options: {
      readonly connectionLimit: number;
      readonly behaviour?: Partial<Behaviour>;
    },
  ) {
    this.#serverId = serverId;
    this.#behaviour = { ...defaultBehaviour, ...options.behaviour };
    this.#log = new ExecutionLog(serverId);
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.maxConnections = options.connectionLimit;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case "GET /health":
        await delay(this.#behaviour.probeTimeMs);
        return void response.end(JSON.stringify(this.#report()));
      case "POST /grant": {
        const isAccepted = this.#grants.accept(JSON.parse(await text(request)));
        return void response.writeHead(isAccepted ? 200 : statusRefused).end();
      }
      case "POST /revoke":
        this.#grants.revoke(JSON.parse(await text(request)));
        return void response.end();
      case "POST /-/drain":
        this.#behaviour = { ...this.#behaviour, isDraining: true };
        return void response.end();
      case "POST /-/behaviour":
        return this.#changeBehaviour(response, await text(request));
      case "GET /-/behaviour":
        return void response.end(JSON.stringify(this.#behaviour));
      case "GET /-/log":
        return void response.end(JSON.stringify(this.#log.records));
      default:
        return await this.#execute(request, response);
    }
  }

  #changeBehaviour(response: ServerResponse, json: string): void {
    try {
      this.#behaviour = changeBehaviour(this.#behaviour, json);
      response.end(JSON.stringify(this.#behaviour));
    } catch (error) {
      response.writeHead(statusBadRequest).end(String(error));
    }
  }

  #report() {
    const actual = {
      isHealthy: true,
      isDraining: this.#behaviour.isDraining,
      isWarm: !this.#isCold(),
      busySlots: this.#slots.busyCount,
    };
    return this.#reporter.report(actual, this.#behaviour);
  }

  /** Executes or refuses a request; ignores a request that was cancelled while it waited for a slot. */
  async #execute(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const cancelled = new AbortController();
    response.once("close", () => cancelled.abort());
    const body = await text(request);
    const received = readReceivedRequest(request);
    if (this.#isOverloaded()) return refuse(response, RefusalReason.Shedding);
    if (!await this.#slots.acquire(cancelled.signal)) return;
    try {
      const reason = this.#tryFindRefusal(received);
      if (reason !== undefined) return refuse(response, reason);
      await this.#run(received, cancelled.signal);
      await sendAnswer(response, this.#behaviour, {
        serverId: this.#serverId,
        received,
        body,
      });
    } finally {
      this.#slots.release();
    }
  }

  /** Simulates the execution; ends early when the caller disconnects. */
  async #run(received: ReceivedRequest, cancelled: AbortSignal): Promise<void> {
    const record = this.#log.start(received);
    const { serviceTimeMs, coldFactor } = this.#behaviour;
    const durationMs = serviceTimeMs * (this.#isCold() ? coldFactor : 1);
    await delay(durationMs, undefined, { signal: cancelled }).catch(() => {
      record.isCancelled = true;
    });
    record.finishedWallMs = Date.now();
  }

  #tryFindRefusal(received: ReceivedRequest): RefusalReason | undefined {
    const behaviour = this.#behaviour;
    const { startBeforeWallMs } = received;
    if (startBeforeWallMs > 0 && Date.now() > startBeforeWallMs) {
      return RefusalReason.StartDeadline;
    }
    if (behaviour.isDraining && behaviour.refusesWhileDraining) {
      return RefusalReason.Draining;
    }
    if (!behaviour.checksFence) return undefined;
    const isAllowed = this.#grants.allows(received, received.fence);
    return isAllowed ? undefined : RefusalReason.Fence;
  }

  #isOverloaded(): boolean {
    const { isShedding, queueLimit } = this.#behaviour;
    return isShedding || this.#slots.queuedCount > queueLimit;
  }

  #isCold(): boolean {
    const ageMs = performance.now() - this.#startedAtMs;
    return ageMs < this.#behaviour.coldStartMs;
  }
}

function refuse(response: ServerResponse, reason: RefusalReason): void {
  response.writeHead(statusRefused, { "skylark-refused-unrun": reason }).end();
}
