/** Starts the project's daemons as processes, and sends requests to them. */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePort, host, sleep } from "./store.mjs";

const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
/** How long a daemon may take until it is ready. */
const readyTimeoutMs = 20_000;

/** Whether the script shall cause the disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export class Record {
  #lines = [];
  #startedAtMs = performance.now();

  note(event, fields = {}) {
    const atS = ((performance.now() - this.#startedAtMs) / 1_000).toFixed(3);
    this.#lines.push(`${atS} ${event} ${JSON.stringify(fields)}`);
  }

  write(folder) {
    writeFileSync(join(folder, "record.txt"), this.#lines.join("\n") + "\n");
  }
}

/** Encodes a configuration; `routes` and `services` are lists of objects. */
export function encodeConfiguration(version, { routes, services }) {
  const routeColumns = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout_ms",
    "slo_ms",
    "priority",
    "split",
    "attempts",
    "service",
  ];
  const serviceColumns = ["name", "health_path", "max_conns", "sharded"];
  const toRows = (columns, entries) =>
    entries.map((entry) => columns.map((name) => entry[name] ?? null));
  return {
    version: `r${version}`,
    routes: { columns: routeColumns, rows: toRows(routeColumns, routes) },
    services: {
      columns: serviceColumns,
      rows: toRows(serviceColumns, services),
    },
    limits: {
      header_bytes: 16_384,
      body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** The command of the deploy file. */
function readCommand() {
  const deploy = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
}

/** Daemons that run as separate processes. */
export class Fleet {
  daemons = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #store;
  #record;

  constructor({ store, record }) {
    this.#store = store;
    this.#record = record;
  }

  /** Starts one more daemon and waits until it is ready. */
  async add({ storeAddress = this.#store.address } = {}) {
    const name = `front-a-${this.daemons.length + 1}`;
    const [front, ready, peer, metrics] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(
      path,
      JSON.stringify({
        daemonId: name,
        zone: "zone-a",
        callersAddress: `${host}:${front}`,
        readinessAddress: `${host}:${ready}`,
        storeAddress,
        host,
        peerPorts: [peer, peer],
        metricsAddress: `${host}:${metrics}`,
        processorShare: 0.54,
        processorCount: 1,
        graceSeconds: 6,
        retryRatio: 0.2,
        retryWindowSeconds: 10,
        retryExtraCount: 56,
      }),
    );
    const daemon = { name, path, front, ready, log: "" };
    this.daemons.push(daemon);
    this.start(daemon);
    return daemon;
  }

  /** Starts the process of a daemon. */
  start(daemon) {
    const [program, ...args] = readCommand();
    const { PATH, HOME } = process.env;
    const child = spawn(program, args, {
      cwd: repository,
      env: { PATH, HOME, SKYLARKRIDGE_BOOT: daemon.path },
      stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout.on("data", (chunk) => daemon.log += chunk);
    daemon.child = child;
    daemon.startedAtMs = performance.now();
    daemon.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.#record.note("daemon ended", { name: daemon.name, code, signal });
        resolve({ code, signal });
      })
    );
    this.#record.note("daemon started", { name: daemon.name });
  }

  /** Waits until a daemon is ready; throws if that takes too long. */
  async waitUntilReady(daemon) {
    const endsAtMs = performance.now() + readyTimeoutMs;
    while (performance.now() < endsAtMs) {
      const answer = await send(daemon.ready, {
        path: "/api/readyz",
        headers: { host: "ready" },
        timeoutMs: 1_000,
      });
      if (answer.status === 200) return;
      await sleep(50);
    }
    throw new Error(`${daemon.name} is not ready`);
  }

  /** Ends all processes that this script started; writes their logs to the folder that `DAEMON_LOGS` names, if set. */
  async stop() {
    for (const { child } of this.daemons) child.kill("SIGKILL");
    await Promise.all(this.daemons.map(({ ended }) => ended));
    const logFolder = process.env.DAEMON_LOGS;
    for (const { name, log } of logFolder ? this.daemons : []) {
      writeFileSync(join(logFolder, `${name}.log`), log);
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** A new request id. */
export function newId() {
  return randomBytes(8).toString("hex");
}

/**
 * Sends one request on a new connection, and resolves with what the client
 * sees: `status`, `headers`, `body`, and `end`, which tells how the answer
 * ended: `whole` by its length or its last chunk, `closed` by an orderly end of
 * the connection, `reset`, or `timeout`.
 */
export function send(
  port,
  { method = "GET", path, headers = {}, body, timeoutMs },
) {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const answer = new Answer();
    const startedAtMs = performance.now();
    let isOver = false;
    const finish = (end) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      socket.destroy();
      const tookMs = Math.round(performance.now() - startedAtMs);
      resolve({ ...answer.toResult(), end, tookMs });
    };
    const timer = setTimeout(() => finish("timeout"), timeoutMs);
    socket.on("connect", () => {
      const lines = Object.entries({
        ...headers,
        ...(body === undefined
          ? {}
          : { "content-length": Buffer.byteLength(body) }),
      }).map(([name, value]) => `${name}: ${value}\r\n`);
      socket.write(
        `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body ?? ""}`,
      );
    });
    socket.on("data", (chunk) => {
      answer.add(chunk);
      if (answer.isWhole) finish("whole");
    });
    socket.on("end", () => finish("closed"));
    socket.on("error", () => finish("reset"));
    socket.on("close", () => finish("reset"));
  });
}

/** Collects the bytes of one answer. */
class Answer {
  #chunks = [];
  #head;
  #bodyBytes = 0;

  add(chunk) {
    this.#chunks.push(chunk);
    if (this.#head !== undefined) {
      this.#bodyBytes += chunk.length;
      return;
    }
    const bytes = Buffer.concat(this.#chunks);
    const at = bytes.indexOf("\r\n\r\n");
    if (at === -1) return;
    this.#head = parseHead(bytes.subarray(0, at));
    this.#chunks = [bytes.subarray(at + 4)];
    this.#bodyBytes = bytes.length - at - 4;
  }

  /** Whether an answer with a length, or in chunks, has arrived completely. */
  get isWhole() {
    if (this.#head === undefined) return false;
    const { headers } = this.#head;
    if (headers["content-length"] !== undefined) {
      return this.#bodyBytes >= Number(headers["content-length"]);
    }
    if (headers["transfer-encoding"] !== "chunked") return false;
    return Buffer.concat(this.#chunks.slice(-2)).subarray(-5)
      .equals(Buffer.from("0\r\n\r\n"));
  }

  toResult() {
    const { status, headers } = this.#head ?? { headers: {} };
    return { status, headers, body: Buffer.concat(this.#chunks) };
  }
}

function parseHead(bytes) {
  const [first, ...lines] = bytes.toString("latin1").split("\r\n");
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { status: Number(first.split(" ")[1]), headers };
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, play) {
  const record = new Record();
  const cleanups = [];
  let exitCode = 2;
  try {
    const breaches = await play({
      record,
      onEnd: (cleanup) => cleanups.push(cleanup),
    });
    for (const breach of breaches) record.note("RULE BROKEN", breach);
    record.note("result", { breaches: breaches.length, hasTrouble });
    console.log(
      `${breaches.length} breaches`,
      breaches.length > 0 ? JSON.stringify(breaches[0]) : "",
    );
    exitCode = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    console.error(error);
    record.note("the case could not run", { error: String(error) });
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  record.write(folder);
  process.exit(exitCode);
}
