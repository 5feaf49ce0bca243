import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  AttemptOutcome,
  BackendServerState,
  RequestClass,
} from "../../types/enums.ts";
import type { KeyLocation, RoutedRequest } from "../../types/types.ts";
import type { BackendGrant } from "../../host/backend_transport.ts";
import { listen } from "../../host/listen.ts";
import { HttpBackendTransport } from "./http_backend_transport.ts";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/**
 * A backend server on the loopback interface and a transport with one
 * connection to it.
 */
class LoopbackBackend {
  readonly #server: Server;
  readonly transport = new HttpBackendTransport({
    connectTimeoutMs: 500,
    connectionsPerServer: 1,
  });
  readonly received: string[] = [];
  connectionCount = 0;

  constructor(handler: Handler) {
    this.#server = createServer((request, response) => {
      this.received.push(String(request.headers["skylark-request-id"]));
      handler(request, response);
    });
    this.#server.on("connection", () => this.connectionCount += 1);
  }

  /**
   * Runs `test` while the server listens, and closes the server also on
   * failure.
   */
  async runWhileListening(test: () => Promise<void>): Promise<void> {
    await listen(this.#server, { host: "127.0.0.1", port: 0 });
    try {
      await test();
    } finally {
      await this.transport.stop();
      this.#server.closeAllConnections();
      await new Promise((resolve) => this.#server.close(resolve));
    }
  }

  send(
    requestId: string,
    parts: Partial<RoutedRequest> = {},
    signal: AbortSignal = new AbortController().signal,
  ) {
    const { port } = this.#server.address() as AddressInfo;
    return this.transport.send(createRequest(requestId, parts), {
      ...createLocation(port),
    }, { signal, startBeforeWallMs: 0 });
  }

  grant() {
    const { port } = this.#server.address() as AddressInfo;
    const { server } = createLocation(port);
    return this.transport.grant(server, grant, new AbortController().signal);
  }
}

const grant: BackendGrant = {
  service: "confirmation",
  shards: [0],
  keys: [],
  fence: 1,
  grantDurationMs: 1_000,
};

function createRequest(
  requestId: string,
  parts: Partial<RoutedRequest>,
): RoutedRequest {
  return {
    requestId,
    customer: "customer",
    service: "confirmation",
    key: "key",
    requestClass: RequestClass.Confirmation,
    isIdempotent: false,
    idempotencyKey: undefined,
    method: "POST",
    path: "/",
    headers: {},
    body: Buffer.from("body"),
    deadlineAtMs: 0,
    ...parts,
  };
}

function createLocation(port: number): KeyLocation {
  return {
    service: "confirmation",
    shard: 0,
    server: {
      serverId: "server",
      address: `127.0.0.1:${port}`,
      dataCentre: "dc-a",
      state: BackendServerState.Live,
      homeDaemonId: "daemon",
      standbyDaemonId: undefined,
      homeFence: 1,
    },
    fence: 1,
    assignmentVersion: 1,
  };
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

/** Returns the request's identifier as the response body. */
function answerWithRequestId(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const requestId = String(request.headers["skylark-request-id"]);
  text(request).then(() => {
    response.setHeader("skylark-request-id", requestId);
    response.end(requestId);
  });
}

describe("HttpBackendTransport", () => {
  describe("a keep-alive connection that closes during a request", () => {
    for (const method of ["POST", "GET"]) {
      it(`does not resend a ${method} request`, async () => {
        const loopback = new LoopbackBackend((request, response) => {
          const isSecond = request.headers["skylark-request-id"] === "second";
          if (isSecond) text(request).then(() => request.socket.destroy());
          else answerWithRequestId(request, response);
        });
        await loopback.runWhileListening(async () => {
          const first = await loopback.send("first");
          assert.ok(first.isOk());
          await readAll(first.value.body);
          const second = await loopback.send("second", { method });
          assert.ok(second.isErr());
          assert.is(second.error.outcome, AttemptOutcome.Unknown);
          const third = await loopback.send("third");
          assert.ok(third.isOk());
          assert.is(await readAll(third.value.body), "third");
          assert.equal(loopback.received, ["first", "second", "third"]);
          assert.is(loopback.connectionCount, 2);
        });
      });
    }
  });

  describe("a truncated response body", () => {
    it("fails when it is read", async () => {
      const loopback = new LoopbackBackend((_request, response) => {
        response.writeHead(200, { "content-length": "100" });
        response.write("part", () => response.destroy());
      });
      await loopback.runWhileListening(async () => {
        const result = await loopback.send("cut");
        assert.ok(result.isOk());
        let isBroken = false;
        await readAll(result.value.body).catch(() => isBroken = true);
        assert.ok(isBroken);
      });
    });
  });

  describe("a cancelled request", () => {
    it("does not pass its late answer to the next request", async () => {
      const held: (() => void)[] = [];
      const loopback = new LoopbackBackend((request, response) => {
        const isFirst = request.headers["skylark-request-id"] === "first";
        if (isFirst) held.push(() => answerWithRequestId(request, response));
        else answerWithRequestId(request, response);
      });
      await loopback.runWhileListening(async () => {
        const caller = new AbortController();
        const first = loopback.send("first", {}, caller.signal);
        while (held.length === 0) {
          await new Promise((resolve) => setImmediate(resolve));
        }
        caller.abort();
        const cancelled = await first;
        assert.ok(cancelled.isErr());
        assert.is(cancelled.error.outcome, AttemptOutcome.Unknown);
        const second = loopback.send("second");
        held[0]!();
        const answer = await second;
        assert.ok(answer.isOk());
        assert.is(await readAll(answer.value.body), "second");
      });
    });
  });

  describe("grant", () => {
    const outcomes = [
      [409, AttemptOutcome.RefusedUnrun],
      [408, AttemptOutcome.Unknown],
      [421, AttemptOutcome.Unknown],
      [429, AttemptOutcome.Unknown],
      [500, AttemptOutcome.Unknown],
      [503, AttemptOutcome.Unknown],
    ] as const;
    for (const [status, outcome] of outcomes) {
      // Guards against a grant in force that counts as refused.
      it(`reports ${outcome} for status ${status}`, async () => {
        const loopback = new LoopbackBackend((_request, response) =>
          void response.writeHead(status).end()
        );
        await loopback.runWhileListening(async () => {
          const result = await loopback.grant();
          assert.is(result.isErr() && result.error.outcome, outcome);
        });
      });
    }
  });

  describe("send", () => {
    it("reports NotSent when the connection is refused", async () => {
      const loopback = new LoopbackBackend(answerWithRequestId);
      await loopback.runWhileListening(async () => {
        const location = createLocation(1);
        const result = await loopback.transport.send(
          createRequest("refused", {}),
          location,
          { signal: new AbortController().signal, startBeforeWallMs: 0 },
        );
        assert.is(
          result.isErr() && result.error.outcome,
          AttemptOutcome.NotSent,
        );
      });
    });

    for (const status of ["000", "099", "600", "999"]) {
      // Guards against an answer that a caller can't be given.
      it(`reports Unknown when the status is none of HTTP's (${status})`, async () => {
        const loopback = new LoopbackBackend(({ socket }) =>
          socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`)
        );
        await loopback.runWhileListening(async () => {
          const result = await loopback.send("odd");
          assert.is(
            result.isErr() && result.error.outcome,
            AttemptOutcome.Unknown,
          );
        });
      });
    }

    it("reports RefusedUnrun when the refusal header is present", async () => {
      const loopback = new LoopbackBackend((_request, response) => {
        response.writeHead(503, { "skylark-refused-unrun": "shedding" }).end();
      });
      await loopback.runWhileListening(async () => {
        const result = await loopback.send("shed");
        assert.is(
          result.isErr() && result.error.outcome,
          AttemptOutcome.RefusedUnrun,
        );
      });
    });
  });
});
