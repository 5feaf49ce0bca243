/** Simulates the platform's row store over HTTP, with faults that tests inject. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import type { StoredRow } from "../../src/host/row_store.ts";
import { SystemClock } from "../../src/host/system_clock.ts";
import { assertNever } from "../../src/types/errors.ts";
import type { ServerEntry } from "../../src/types/routing.ts";
import {
  encodeConfiguration,
  encodeServerEntry,
} from "./small_configuration.ts";
import {
  configurationKey,
  evacuationKeyPrefix,
  headerNames,
  tables,
} from "../../platform/names.ts";
import { FakeRows, type RowsCopy } from "../../src/testing/fake_row_store.ts";

/** Maximum number of rows in one answer. */
const maxPageRowCount = 500;

const statusOk = 200;
const statusUnavailable = 503;
const statusNotFound = 404;
const statusGone = 410;
const statusConflict = 412;

/** The faults of the store. */
export interface StoreFault {
  readonly isDown: boolean;
  readonly delayMs: number;
  /** Fraction of the transactions whose answer is lost. */
  readonly lostAnswerFraction: number;
}

interface WireCondition {
  readonly table: string;
  readonly key: string;
  readonly obj_version: number;
}

interface WirePut {
  readonly table: string;
  readonly key: string;
  readonly value: string;
}

/** How the store treats the calls of one daemon. */
export enum EntranceState {
  Open = "open",
  /** Every call is refused. */
  Refusing = "refusing",
  /** No call is answered. */
  Silent = "silent",
}

/** A listener of the store for one daemon. */
export interface StoreEntrance {
  readonly server: Server;
  state: EntranceState;
}

/** The HTTP server of the simulated row store. */
export class RowStoreStandin {
  readonly rows = new FakeRows(new SystemClock());
  readonly server: Server;
  /** Number of calls that have arrived. */
  callCount = 0;
  readonly #entrances: StoreEntrance[] = [];
  /** The cold rate of every service; null for none. */
  coldRequestsPerSecond: number | null = null;
  fault: StoreFault = { isDown: false, delayMs: 0, lostAnswerFraction: 0 };

  constructor() {
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  /** Creates a listener for one daemon; the caller lets it listen. */
  createEntrance(): StoreEntrance {
    const entrance: StoreEntrance = {
      state: EntranceState.Open,
      server: createServer((request, response) => {
        switch (entrance.state) {
          case EntranceState.Open:
            return void this.#handle(request, response)
              .catch(() => response.destroy());
          case EntranceState.Refusing:
            return void response.writeHead(statusUnavailable).end();
          case EntranceState.Silent:
            return;
          default:
            return assertNever(entrance.state);
        }
      }),
    };
    this.#entrances.push(entrance);
    return entrance;
  }

  /** Closes all listeners and their connections. */
  close(): void {
    for (const { server } of [this, ...this.#entrances]) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes the configuration row; each extra prefix adds a route. */
  writeConfiguration(
    version: number,
    extraPrefixes: readonly string[] = [],
  ): void {
    this.rows.put(
      tables.configuration,
      configurationKey,
      encodeConfiguration(version, extraPrefixes, this.coldRequestsPerSecond),
    );
  }

  /** Writes the row of a backend server. */
  writeServer(entry: ServerEntry): void {
    this.rows.put(tables.servers, entry.id, encodeServerEntry(entry));
  }

  /** Removes the row of a backend server. */
  removeServer(id: string): void {
    this.rows.remove(tables.servers, id);
  }

  /** Evacuates a data centre, as an operator would. */
  evacuate(zone: string): void {
    const key = `${evacuationKeyPrefix}${zone}`;
    this.rows.put(tables.configuration, key, Buffer.from("{}"));
  }

  /** Ends the evacuation of a data centre. */
  endEvacuation(zone: string): void {
    this.rows.remove(tables.configuration, `${evacuationKeyPrefix}${zone}`);
  }

  /** Comes back from a copy that was taken before; the result writes again what operators and servers have written since. */
  restore(copy: RowsCopy): () => void {
    return this.rows.restore(copy, Object.values(tables));
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
    const url = new URL(request.url ?? "/", "http://store");
    const body = await text(request);
    const { isDown, delayMs } = this.fault;
    if (delayMs > 0) await delay(delayMs);
    response.setHeader(headerNames.storeEra, this.rows.era);
    if (isDown) return void response.writeHead(statusUnavailable).end();
    const name = `${request.method} ${url.pathname}`;
    switch (name) {
      case "GET /api/rows-get":
        return this.#answer(response, statusOk, this.#select(url.searchParams));
      case "GET /api/rows-feed":
        return await this.#feed(response, url.searchParams);
      case "POST /api/rows-tx":
        return this.#transact(response, body);
      default:
        return void response.writeHead(statusNotFound).end();
    }
  }

  #select(query: URLSearchParams): object {
    const from = query.get("from") ?? "";
    const limit = Number(query.get("limit") ?? maxPageRowCount);
    const rows = this.rows.rowsOf(query.get("table") ?? "")
      .filter(({ key }) => key >= from);
    const pageRowCount = Math.min(limit, maxPageRowCount);
    return {
      rows: rows.slice(0, pageRowCount).map(encodeRow),
      has_more: rows.length > pageRowCount,
    };
  }

  async #feed(response: ServerResponse, query: URLSearchParams): Promise<void> {
    const table = query.get("table") ?? "";
    const after = Number(query.get("after"));
    const endsAtMs = Date.now() + Number(query.get("wait_ms"));
    for (;;) {
      const changes = this.rows.changesAfter(table, after);
      if (changes === undefined) {
        return void response.writeHead(statusGone).end();
      }
      const durationMs = endsAtMs - Date.now();
      if (changes.length > 0 || durationMs <= 0 || response.destroyed) {
        const rows = changes.map((change) => ({
          ...encodeRow(change),
          ...(change.isRemoved ? { is_gone: true } : {}),
        }));
        return this.#answer(response, statusOk, { rows });
      }
      await this.rows.changed.waitAtMost(this.rows.clock, {
        durationMs,
        seenCount: this.rows.changed.notifyCount,
        signal: AbortSignal.timeout(durationMs),
      });
    }
  }

  #transact(response: ServerResponse, body: string): void {
    const { precondition, put } = JSON.parse(body) as {
      readonly precondition: readonly WireCondition[];
      readonly put: readonly WirePut[];
    };
    const answer = this.rows.apply({
      conditions: precondition.map((condition) => ({
        ...condition,
        version: { era: this.rows.era, number: condition.obj_version },
      })),
      writes: put.map(({ table, key, value }) => ({
        table,
        key,
        value: Buffer.from(value, "base64"),
      })),
    });
    if (Math.random() < this.fault.lostAnswerFraction) {
      return void response.destroy();
    }
    const status = answer.isApplied ? statusOk : statusConflict;
    this.#answer(response, status, { rows: answer.rows.map(encodeRow) });
  }

  #answer(response: ServerResponse, status: number, fields: object): void {
    response.writeHead(status, {
      "content-type": "application/json",
      [headerNames.storeEra]: this.rows.era,
    });
    response.end(JSON.stringify({
      has_more: false,
      ...fields,
      obj_version: this.rows.version,
      now_ms: Math.round(performance.now()),
    }));
  }
}

function encodeRow({ table, key, value, version }: StoredRow) {
  return {
    table,
    part: "",
    key,
    value: Buffer.from(value).toString("base64"),
    obj_version: version,
  };
}
