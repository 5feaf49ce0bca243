/**
 * Stand-in for a backend server, as a process: a few slots behind a FIFO
 * queue, grants that it checks or not, draining, cold start, deadlines, and a
 * log of executed work at `/-/log`. Configured by environment.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import type { BackendGrant } from "../src/host/backend_transport.ts";

const port = Number(process.env["STANDIN_PORT"]);
const serverId = process.env["STANDIN_SERVER_ID"] ?? "server";
const slotCount = Number(process.env["STANDIN_SLOTS"] ?? 3);
const connectionLimit = Number(process.env["STANDIN_CONNECTIONS"] ?? 50);
const isFenceChecked = process.env["STANDIN_CHECKS_FENCE"] === "1";
const serviceTimeMs = Number(process.env["STANDIN_SERVICE_TIME_MS"] ?? 2);
const coldStartMs = Number(process.env["STANDIN_COLD_START_MS"] ?? 0);
const probeTimeMs = Number(process.env["STANDIN_PROBE_TIME_MS"] ?? 6);
const startedAtMs = performance.now();

/** One executed request; the invariant checker reads these. */
interface ExecutionRecord {
  readonly serverId: string;
  readonly service: string;
  readonly key: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly fence: number;
  readonly startedWallMs: number;
  finishedWallMs: number;
}

interface HeldGrant {
  readonly fence: number;
  readonly expiresAtMs: number;
}

const executions: ExecutionRecord[] = [];
const grants = new Map<string, HeldGrant>();
const waiting: (() => void)[] = [];
let busySlots = 0;
let isDraining = false;

function header(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}

/** Why the request must not run; undefined when it may. */
function refusalOf(request: IncomingMessage): string | undefined {
  const startBeforeWallMs = Number(
    header(request, "skylark-start-before-wall-ms"),
  );
  if (startBeforeWallMs > 0 && Date.now() > startBeforeWallMs) {
    return "start-deadline";
  }
  if (!isFenceChecked) return undefined;
  const service = header(request, "skylark-service");
  const key = decodeURIComponent(header(request, "skylark-key"));
  const shard = header(request, "skylark-shard");
  const grant = grants.get(`${service}/key/${key}`) ??
    grants.get(`${service}/shard/${shard}`);
  if (grant === undefined || performance.now() > grant.expiresAtMs) {
    return "fence";
  }
  const fence = Number(header(request, "skylark-fence"));
  return fence === grant.fence ? undefined : "fence";
}

function grantNames(grant: BackendGrant): string[] {
  return [
    ...grant.shards.map((shard) => `${grant.service}/shard/${shard}`),
    ...grant.keys.map((key) => `${grant.service}/key/${key}`),
  ];
}

function acceptGrant(grant: BackendGrant): boolean {
  const expiresAtMs = performance.now() + grant.grantDurationMs;
  const names = grantNames(grant);
  if (names.some((name) => (grants.get(name)?.fence ?? 0) > grant.fence)) {
    return false;
  }
  for (const name of names) {
    grants.set(name, { fence: grant.fence, expiresAtMs });
  }
  return true;
}

function revokeGrant(grant: BackendGrant): void {
  for (const name of grantNames(grant)) {
    if ((grants.get(name)?.fence ?? 0) > grant.fence) continue;
    grants.set(name, { fence: grant.fence, expiresAtMs: 0 });
  }
}

async function takeSlot(): Promise<void> {
  if (busySlots >= slotCount) {
    await new Promise<void>((resolve) => waiting.push(resolve));
  }
  busySlots += 1;
}

function releaseSlot(): void {
  busySlots -= 1;
  waiting.shift()?.();
}

async function execute(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await text(request);
  await takeSlot();
  try {
    const refusal = refusalOf(request);
    if (refusal !== undefined) {
      response.writeHead(409, { "skylark-refused-unrun": refusal }).end();
      return;
    }
    const record: ExecutionRecord = {
      serverId,
      service: header(request, "skylark-service"),
      key: decodeURIComponent(header(request, "skylark-key")),
      requestId: header(request, "skylark-request-id"),
      idempotencyKey: header(request, "idempotency-key"),
      method: request.method ?? "",
      fence: Number(header(request, "skylark-fence")),
      startedWallMs: Date.now(),
      finishedWallMs: 0,
    };
    executions.push(record);
    const isCold = performance.now() - startedAtMs < coldStartMs;
    await delay(isCold ? serviceTimeMs * 5 : serviceTimeMs);
    record.finishedWallMs = Date.now();
    response.writeHead(200, {
      "content-type": "application/json",
      "skylark-server": serverId,
      "skylark-request-id": record.requestId,
    });
    response.end(JSON.stringify({ key: record.key, url: request.url, body }));
  } finally {
    releaseSlot();
  }
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  switch (`${request.method} ${request.url}`) {
    case "GET /health":
      await delay(probeTimeMs);
      response.end(JSON.stringify({
        isHealthy: true,
        isDraining,
        isWarm: performance.now() - startedAtMs >= coldStartMs,
        busySlots,
      }));
      return;
    case "POST /grant": {
      const isAccepted = acceptGrant(JSON.parse(await text(request)));
      response.writeHead(isAccepted ? 200 : 409).end();
      return;
    }
    case "POST /revoke":
      revokeGrant(JSON.parse(await text(request)));
      response.end();
      return;
    case "POST /-/drain":
      isDraining = true;
      response.end();
      return;
    case "GET /-/log":
      response.end(JSON.stringify(executions));
      return;
    default:
      await execute(request, response);
  }
}

const server = createServer((request, response) => {
  handle(request, response).catch(() => response.destroy());
});
server.maxConnections = connectionLimit;
server.listen(port, "127.0.0.1", () => console.log("ready"));
