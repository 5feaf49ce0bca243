/** A small stand-in for an upstream, which behaves as the protocol page says. */
import { createServer } from "node:http";
import { text } from "node:stream/consumers";
import { findFreePort, host, listen, sleep } from "./store.mjs";

/** Upstreams of a service queue a few requests beyond their slots. */
const queueLength = 12;
/** An upstream that has just started is slow by this factor for this time. */
const coldFactor = 2;
const coldMs = 3_000;

/** One upstream of a service. */
export class Upstream {
  /** Grants by first key: `{ from, to, fence, endsAtMs }`. */
  holds = [];
  /** All grants of this life, for `grantEndOf`. */
  grants = [];
  running = new Map();
  busyCount = 0;
  waiting = [];
  isDraining = false;
  seq = 0;

  constructor(options) {
    const {
      id,
      service,
      record,
      store,
      slots = 3,
      workMs = 50,
      isSharded = false,
    } = options;
    Object.assign(this, { id, service, record, store, slots, isSharded });
    this.workMs = workMs;
    /** Sends the answer instead of the sound one, if set: `(request, response) => void`. */
    this.answerWith = options.answerWith;
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
  }

  /** Listens, on a free port unless one is given. */
  async start(port) {
    this.born = Date.now();
    this.port = port ?? await findFreePort();
    await listen(this.server, this.port);
    this.address = `${host}:${this.port}`;
  }

  /** Writes this upstream's entry. */
  register() {
    this.seq += 1;
    this.store.put("servers", this.id, {
      addr: this.address,
      born: this.born,
      info: {
        service: this.service,
        version: "v1",
        zone: "zone-a",
        slots: this.slots,
      },
      status: {
        state: this.isDraining ? "draining" : "ready",
        seq: this.seq,
        cold_left_ms: 0,
      },
    });
  }

  /** The id and the start of this life. */
  get name() {
    return `${this.id}@${this.born}`;
  }

  /** Ends as a crash does: holds and running work are gone. */
  crash() {
    this.isCrashed = true;
    this.holds = [];
    this.running.clear();
    this.server.close();
    this.server.closeAllConnections();
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Whether this upstream holds a key now. */
  holdsKey(key) {
    return this.holds.some(({ from, to, endsAtMs }) =>
      from <= key && key <= to && performance.now() < endsAtMs
    );
  }

  /** When the hold on a key would have run out, without its release. */
  grantEndOf(key) {
    return this.grants.filter(({ from, to }) => from <= key && key <= to)
      .reduce((endMs, { endsAtMs }) => Math.max(endMs, endsAtMs), -Infinity);
  }

  async #handle(request, response) {
    const { url, headers } = request;
    const arrivedAtMs = performance.now();
    this.onArrival?.(request, response);
    const body = await text(request);
    if (url === "/healthz") {
      return void response.writeHead(this.isDraining ? 503 : 200, {
        "x-instance-id": this.id,
      }).end();
    }
    const target = headers["x-target-instance"];
    const requestId = headers["x-request-id"];
    if (target !== undefined && target !== this.id) {
      return this.#refuse(response, 421, requestId);
    }
    if (url === "/api/grant") return this.#grant(response, body, arrivedAtMs);
    if (url === "/api/release") return await this.#release(response, body);
    await this.#run(request, response, requestId);
  }

  #grant(response, body, arrivedAtMs) {
    const { from, to, fence, hold_ms: holdMs } = JSON.parse(body);
    const overlapping = this.holds.filter((hold) =>
      hold.from <= to && from <= hold.to
    );
    const isFenced = overlapping.some((hold) => hold.fence > fence);
    this.record?.note("grant", {
      server: this.id,
      life: this.born,
      from,
      to,
      fence,
      holdMs,
      isFenced,
    });
    if (isFenced) return void response.writeHead(409).end();
    this.onGrant?.({ from, to, fence });
    this.#cut(from, to);
    const hold = { from, to, fence, endsAtMs: arrivedAtMs + holdMs };
    this.holds.push(hold);
    this.grants.push(hold);
    response.writeHead(200).end();
  }

  async #release(response, body) {
    const { from, to } = JSON.parse(body);
    this.record?.note("release", {
      server: this.id,
      life: this.born,
      from,
      to,
    });
    this.#cut(from, to);
    const isRunning = () =>
      [...this.running.values()].some((key) => from <= key && key <= to);
    while (isRunning()) await sleep(2);
    response.writeHead(200, { "x-handover": `${this.id}-${from}-${to}` }).end();
  }

  /** Ends the holds of some keys, and keeps those of the others. */
  #cut(from, to) {
    this.holds = this.holds.flatMap((hold) => {
      if (hold.to < from || to < hold.from) return [hold];
      const parts = [];
      if (hold.from < from) parts.push({ ...hold, to: from - 1 });
      if (to < hold.to) parts.push({ ...hold, from: to + 1 });
      return parts;
    });
  }

  async #run(request, response, requestId) {
    const key = Number(request.headers["x-shard-key"]);
    if (this.isSharded && !this.holdsKey(key)) {
      return this.#refuse(response, 421, requestId);
    }
    if (!(await this.#acquireSlot())) {
      return this.#refuse(response, 503, requestId);
    }
    if (this.isSharded && !this.holdsKey(key)) {
      this.#releaseSlot();
      return this.#refuse(response, 421, requestId);
    }
    this.running.set(requestId, key);
    this.onRun?.(requestId, key);
    this.record?.note("run", {
      server: this.id,
      id: requestId,
      ...(Number.isNaN(key) ? {} : { key }),
    });
    const isCold = Date.now() - this.born < coldMs;
    await sleep(this.workMs * (isCold ? coldFactor : 1));
    this.running.delete(requestId);
    this.#releaseSlot();
    if (this.answerWith !== undefined) {
      return this.answerWith(request, response);
    }
    response.writeHead(200, {
      ...this.answerHeaders(requestId),
    }).end(`answer to ${requestId}`);
  }

  /** The headers of a sound answer. */
  answerHeaders(requestId) {
    return {
      "x-request-id": requestId,
      "x-response-signature": `${this.id}.${requestId}`,
      "x-server-load": `${this.busyCount},${this.waiting.length},${this.slots}`,
    };
  }

  #refuse(response, status, requestId) {
    response.writeHead(status, {
      "x-request-id": requestId ?? "",
      "x-not-executed": "1",
      "content-length": "0",
    }).end();
  }

  async #acquireSlot() {
    if (this.busyCount < this.slots) {
      this.busyCount += 1;
      return true;
    }
    if (this.waiting.length >= queueLength) return false;
    await new Promise((resolve) => this.waiting.push(resolve));
    return true;
  }

  #releaseSlot() {
    const next = this.waiting.shift();
    if (next === undefined) this.busyCount -= 1;
    else next();
  }
}
