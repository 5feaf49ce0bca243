/** Simulates the platform: table, object store and list of VMs over HTTP. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import type { TableWrite } from "../../src/host/platform_table.ts";
import type { VmRecord } from "../../src/types/types.ts";
import { PlatformState } from "../platform_state.ts";
import { FaultState } from "./fault.ts";
import { LaggingVmList } from "./vm_list.ts";

const statusUnavailable = 503;
const statusBadRequest = 400;

interface Answer {
  readonly status: number;
  readonly body: string;
}

interface Call {
  /** Method and path. */
  readonly name: string;
  readonly query: URLSearchParams;
  readonly body: string;
}

/** The HTTP server of the simulated platform. */
export class PlatformStandin {
  readonly server: Server;
  readonly #state = new PlatformState();
  readonly #faults = new FaultState();
  readonly #vms: LaggingVmList;

  constructor(options: { readonly vmListLagMs: number }) {
    this.#vms = new LaggingVmList(options.vmListLagMs);
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://platform");
    const name = `${request.method} ${url.pathname}`;
    const body = await text(request);
    if (name === "POST /fault") return this.#setFaults(response, body);
    const { delayMs, isDown } = this.#faults.current;
    if (delayMs > 0) await delay(delayMs);
    if (isDown) return void response.writeHead(statusUnavailable).end();
    const answer = this.#answer({ name, query: url.searchParams, body });
    const isWrite = request.method !== "GET";
    if (isWrite && this.#faults.consumeAnswerLoss()) {
      return void response.destroy();
    }
    response.writeHead(answer.status).end(answer.body);
  }

  #setFaults(response: ServerResponse, json: string): void {
    try {
      this.#faults.replace(json);
      response.end("ok");
    } catch (error) {
      response.writeHead(statusBadRequest).end(String(error));
    }
  }

  #answer({ name, query, body }: Call): Answer {
    switch (name) {
      case "GET /table/row":
        return createAnswer(this.#state.read(query.get("key") ?? ""));
      case "GET /table/rows":
        return createAnswer(this.#state.list(query.get("prefix") ?? ""));
      case "POST /table/commit":
        return createAnswer(
          this.#state.commit(JSON.parse(body) as TableWrite[]),
        );
      case "GET /vms":
        return createAnswer(this.#vms.visible);
      case "POST /vms":
        this.#state.putVm(JSON.parse(body) as VmRecord);
        void this.#vms.publish(this.#state.vms());
        return createAnswer("ok");
      case "POST /vms/remove":
        this.#state.removeVm((JSON.parse(body) as { vmId: string }).vmId);
        void this.#vms.publish(this.#state.vms());
        return createAnswer("ok");
      default:
        return this.#answerObjectCall(name, body);
    }
  }

  #answerObjectCall(name: string, body: string): Answer {
    const match = /^(GET|PUT) \/objects\/(.+)$/.exec(name);
    if (match === null) return { status: 404, body: "" };
    const objectName = decodeURIComponent(match[2] ?? "");
    if (match[1] === "GET") {
      return createAnswer(this.#state.getObject(objectName));
    }
    this.#state.putObject(objectName, body);
    return createAnswer("ok");
  }
}

function createAnswer(value: unknown): Answer {
  if (value === undefined) return { status: 404, body: "" };
  const body = typeof value === "string" ? value : JSON.stringify(value);
  return { status: 200, body };
}
