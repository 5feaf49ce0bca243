/**
 * The least that a forwarder of the same `http` and `undici` does: reads the
 * request, sends it to one of the backends, streams the answer back. A process
 * of its own, configured by environment.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";

const port = Number(process.env["BARE_PORT"]);
const backends = (process.env["BARE_BACKENDS"] ?? "").split(",");
const connectionCount = Number(process.env["BARE_CONNECTIONS"] ?? 64);
const pools = backends.map((address) =>
  new Pool(`http://${address}`, { connections: connectionCount })
);
let turn = 0;

async function forward(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const pool = pools[turn++ % pools.length]!;
  const answer = await pool.request({
    path: request.url ?? "/",
    method: request.method ?? "GET",
    headers: request.headers as Record<string, string>,
    body: request.method === "GET" ? null : request,
  });
  response.writeHead(answer.statusCode, answer.headers);
  await pipeline(answer.body, response);
}

createServer((request, response) => {
  forward(request, response).catch(() => response.destroy());
}).listen(port, "127.0.0.1", () => console.log("ready"));
