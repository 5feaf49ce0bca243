/**
 * A minimal forwarder on the same `http` and `undici` modules, as the baseline of
 * the throughput bench: reads a request, sends it to one of the backend servers
 * and streams the answer back. Runs as its own process, configured by
 * environment variables.
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
