/** A small stand-in for the platform's metadata store, over HTTP on loopback. */
import { createServer } from "node:http";
import { createServer as createSocketServer } from "node:net";
import { text } from "node:stream/consumers";

/** Time that the store takes for an answer. */
const answerMs = 4;
/** Maximum number of rows of one answer. */
const maxPageRows = 500;

/** Resolves after a time. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The loopback address of this process's stand-ins and daemons, so that scripts side by side don't take each other's ports. */
export const host = `127.${1 + (process.pid >> 8) % 250}.${
  process.pid % 256
}.1`;

/** Ports below those that the system gives to outgoing connections. */
const portRange = { first: 12_000, count: 19_000 };
const usedPorts = new Set();

/** Listens on a loopback port. */
export function listen(server, port) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** Finds a loopback port that is free and was not found before. */
export async function findFreePort() {
  for (;;) {
    const { first, count } = portRange;
    const port = first + Math.floor(Math.random() * count);
    if (usedPorts.has(port)) continue;
    usedPorts.add(port);
    const server = createSocketServer();
    try {
      await listen(server, port);
    } catch {
      continue;
    }
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** Rows with versions, long polls for changes, and conditional transactions. */
export class Store {
  version = 1;
  rows = new Map();
  changes = [];
  waiting = new Set();
  /** Called with `METHOD path` and the query before a call is carried out. */
  onCall = undefined;

  constructor() {
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    const port = await findFreePort();
    await listen(this.server, port);
    this.address = `${host}:${port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or an upstream does; the return acknowledges it. */
  put(table, key, value) {
    this.#write([{ table, key, value: encode(value) }]);
  }

  /** Removes a row. */
  remove(table, key) {
    this.version += 1;
    this.rows.delete(`${table}/${key}`);
    this.#addChange({
      table,
      key,
      value: "",
      version: this.version,
      isGone: true,
    });
  }

  /** The rows of a table in ascending byte order of their keys. */
  rowsOf(table) {
    return [...this.rows.values()].filter((row) => row.table === table)
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
  }

  #write(puts) {
    this.version += 1;
    for (const { table, key, value } of puts) {
      const row = { table, key, value, version: this.version };
      this.rows.set(`${table}/${key}`, row);
      this.#addChange(row);
    }
  }

  #addChange(change) {
    this.changes.push(change);
    for (const wake of [...this.waiting]) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const body = await text(request);
    await sleep(answerMs);
    const call = `${request.method} ${url.pathname}`;
    await this.onCall?.(call, url.searchParams);
    switch (call) {
      case "GET /api/rows-get":
        return this.#get(response, url.searchParams);
      case "GET /api/rows-feed":
        return await this.#feed(response, url.searchParams);
      case "POST /api/rows-tx":
        return this.#transact(response, JSON.parse(body));
      default:
        return this.#answer(response, 404, {});
    }
  }

  #get(response, query) {
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const limit = Math.min(maxPageRows, Number(query.get("limit") ?? Infinity));
    const rows = this.rowsOf(query.get("table")).filter(({ key }) =>
      key >= from && (to === null || key < to)
    );
    this.#answer(response, 200, {
      rows: rows.slice(0, limit).map(encodeRow),
      has_more: rows.length > limit,
    });
  }

  async #feed(response, query) {
    const after = Number(query.get("after"));
    const endsAtMs = Date.now() + Number(query.get("wait_ms"));
    for (;;) {
      const changes = this.changes.filter(({ table, version }) =>
        table === query.get("table") && version > after
      );
      const leftMs = endsAtMs - Date.now();
      if (changes.length > 0 || leftMs <= 0 || response.destroyed) {
        return this.#answer(response, 200, { rows: changes.map(encodeRow) });
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiting.add(wake);
      });
    }
  }

  #transact(response, { precondition = [], put = [], remove = [] }) {
    const current = precondition.map(({ table, key }) =>
      this.rows.get(`${table}/${key}`)
    );
    const isMet = precondition.every(({ obj_version }, i) =>
      (current[i]?.version ?? 0) === obj_version
    );
    if (!isMet) {
      const rows = current.filter((row) => row !== undefined).map(encodeRow);
      return this.#answer(response, 412, { rows });
    }
    this.#write(put);
    for (const { table, key } of remove) this.remove(table, key);
    this.#answer(response, 200, { rows: [] });
  }

  #answer(response, status, fields) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({
      ...fields,
      obj_version: this.version,
      now_ms: Math.round(performance.now()),
    }));
  }
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString("base64");
}

function encodeRow({ table, key, value, version, isGone }) {
  return {
    table,
    part: "",
    key,
    value,
    obj_version: version,
    ...(isGone ? { is_gone: true } : {}),
  };
}
