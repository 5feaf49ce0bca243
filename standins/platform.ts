/**
 * Stand-in for the platform, as a process: table, object store and VM list
 * over HTTP, with faults to order at `/fault`. Configured by environment.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import type { TableWrite } from "../src/host/platform_table.ts";
import type { VmRecord } from "../src/types/types.ts";
import { PlatformState } from "./platform_state.ts";

/** What the platform does wrong until told otherwise. */
interface PlatformFault {
  readonly isDown: boolean;
  readonly delayMs: number;
  /** Takes effect, then closes the connection without an answer. */
  readonly losesWriteAnswers: boolean;
}

const noFault: PlatformFault = {
  isDown: false,
  delayMs: 0,
  losesWriteAnswers: false,
};
const port = Number(process.env["STANDIN_PORT"]);
const vmListLagMs = Number(process.env["STANDIN_VM_LIST_LAG_MS"] ?? 1_000);
const state = new PlatformState();
let fault = noFault;
let visibleVms: readonly VmRecord[] = [];

interface Answer {
  readonly status: number;
  readonly body: string;
}

function found(value: unknown): Answer {
  if (value === undefined) return { status: 404, body: "" };
  const body = typeof value === "string" ? value : JSON.stringify(value);
  return { status: 200, body };
}

/** Shows a change of the VM list only after the lag. */
function publishVmsLate(): void {
  const vms = state.vms();
  setTimeout(() => visibleVms = vms, vmListLagMs);
}

function answerCall(call: string, url: URL, body: string): Answer {
  switch (call) {
    case "GET /table/row":
      return found(state.read(url.searchParams.get("key") ?? ""));
    case "GET /table/rows":
      return found(state.list(url.searchParams.get("prefix") ?? ""));
    case "POST /table/commit":
      return found(state.commit(JSON.parse(body) as TableWrite[]));
    case "GET /vms":
      return found(visibleVms);
    case "POST /vms":
      state.putVm(JSON.parse(body) as VmRecord);
      publishVmsLate();
      return found("ok");
    case "POST /vms/remove":
      state.removeVm((JSON.parse(body) as { vmId: string }).vmId);
      publishVmsLate();
      return found("ok");
    default:
      return answerObjectCall(call, body);
  }
}

function answerObjectCall(call: string, body: string): Answer {
  const match = /^(GET|PUT) \/objects\/(.+)$/.exec(call);
  if (match === null) return { status: 404, body: "" };
  const name = decodeURIComponent(match[2] ?? "");
  if (match[1] === "GET") return found(state.getObject(name));
  state.putObject(name, body);
  return found("ok");
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://platform");
  const call = `${request.method} ${url.pathname}`;
  const body = await text(request);
  if (call === "POST /fault") {
    fault = { ...noFault, ...JSON.parse(body) };
    return void response.end("ok");
  }
  const active = fault;
  if (active.delayMs > 0) await delay(active.delayMs);
  if (active.isDown) return void response.writeHead(503).end();
  const answer = answerCall(call, url, body);
  if (active.losesWriteAnswers && request.method !== "GET") {
    return void response.destroy();
  }
  response.writeHead(answer.status).end(answer.body);
}

createServer((request, response) => void handle(request, response))
  .listen(port, "127.0.0.1", () => console.log("ready"));
