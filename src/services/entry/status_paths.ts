/** The health and readiness endpoints that the platform's balancer reads. */
import { DaemonState } from "../../types/enums.ts";
import type { Lifecycle } from "../lifecycle/lifecycle.ts";
import type { HttpExchange } from "../peers/forward_handler.ts";

const healthPath = "/-/health";
const readyPath = "/-/ready";
const statusOk = 200;
const statusUnavailable = 503;

/** Answers a health or readiness request; returns false for any other. */
export function tryAnswerStatusPath(
  { request, response }: HttpExchange,
  lifecycle: Lifecycle,
): boolean {
  switch (request.url) {
    case healthPath:
      sendText(response, statusOk, "ok\n");
      break;
    case readyPath:
      sendReadiness(response, lifecycle);
      break;
    default:
      return false;
  }
  request.resume();
  return true;
}

function sendReadiness(
  response: HttpExchange["response"],
  lifecycle: Lifecycle,
): void {
  const state = lifecycle.state();
  const isReady = state === DaemonState.Ready;
  const lines = [
    state,
    ...lifecycle.blockers().map((blocker) => `blocked: ${blocker}`),
    ...lifecycle.unassignedServices().map((name) => `unassigned: ${name}`),
  ];
  const status = isReady ? statusOk : statusUnavailable;
  sendText(response, status, `${lines.join("\n")}\n`);
}

function sendText(
  response: HttpExchange["response"],
  status: number,
  text: string,
): void {
  response.writeHead(status, {
    "content-type": "text/plain; charset=utf-8",
    "cache-control": "no-store",
  });
  response.end(text);
}
