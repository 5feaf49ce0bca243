import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { err, ok } from "neverthrow";
import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { SystemClock } from "../../host/system_clock.ts";
import { Kernel } from "../../kernel/kernel.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  AttemptOutcome,
  BackendServerState,
  RequestClass,
} from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import { encodeFailure } from "../../types/failure_codec.ts";
import type { KeyLocation, RoutedRequest } from "../../types/types.ts";
import { readText } from "../../streams/read_text.ts";
import { Home, type HomedServerStatus } from "../home/home.ts";
import type { DispatchResult } from "../home/queued_request.ts";
import { StatsdMetrics } from "../metrics/statsd_metrics.ts";
import {
  encodeForward,
  failureHeader,
  forwardHeader,
  forwardPath,
} from "./forward_codec.ts";
import { HttpPeerServer } from "./http_peer_server.ts";
import { HttpPeerTransport } from "./http_peer_transport.ts";

const secret = "a secret of the test fleet";

type Dispatch = (
  request: RoutedRequest,
  signal: AbortSignal,
) => Promise<DispatchResult>;

/** A home that dispatches requests with the test's function. */
class ScriptedHome extends Home {
  readonly #dispatch: Dispatch;
  readonly received: RoutedRequest[] = [];

  constructor(dispatch: Dispatch) {
    super();
    this.#dispatch = dispatch;
  }

  override dispatch(
    request: RoutedRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<DispatchResult> {
    this.received.push(request);
    return this.#dispatch(request, options.signal);
  }

  override status(): readonly HomedServerStatus[] {
    return [];
  }
}

const maxBodyBytes = 1_048_576;

/** A peer transport and a peer server that are connected over loopback. */
class Hop {
  readonly home: ScriptedHome;
  readonly #server = new HttpPeerServer({
    host: "127.0.0.1",
    port: 0,
    secret,
    maxHeaderBytes: 16_384,
    maxBodyBytes,
  });
  readonly #kernel = new Kernel();
  readonly #transport = new HttpPeerTransport({
    secret,
    connectionsPerPeer: 2,
    connectTimeoutMs: 500,
    callTimeoutMs: 500,
  });

  constructor(dispatch: Dispatch) {
    this.home = new ScriptedHome(dispatch);
    this.#kernel
      .register(new SystemClock())
      .register(new StatsdMetrics({ address: undefined, daemonId: "test" }))
      .register(this.home)
      .register(this.#server)
      .register(this.#transport);
  }

  port(): number {
    return this.#server.port();
  }

  /** Drains the peer server only. */
  drain(): Promise<void> {
    return this.#server.drain();
  }

  /** Starts both sides, runs a test, and stops both sides, also after a failure. */
  async use(test: () => Promise<void>): Promise<void> {
    await this.#kernel.start();
    try {
      await test();
    } finally {
      await this.#kernel.stop();
    }
  }

  forward(
    parts: Partial<RoutedRequest> = {},
    signal: AbortSignal = new AbortController().signal,
  ) {
    const address = `127.0.0.1:${this.#server.port()}`;
    const request = createRequest(parts);
    return this.#transport.forward(address, request, { location, signal });
  }
}

const location: KeyLocation = {
  service: "roster",
  shard: 0,
  server: {
    serverId: "server",
    address: "127.0.0.1:1",
    dataCentre: "dc-a",
    state: BackendServerState.Live,
    homeDaemonId: "daemon",
    standbyDaemonId: undefined,
    homeFence: 1,
  },
  fence: 1,
  assignmentVersion: 1,
};

function createRequest(parts: Partial<RoutedRequest>): RoutedRequest {
  return {
    requestId: "request",
    customer: "customer",
    service: "roster",
    key: "schlüssel/ñ",
    requestClass: RequestClass.LiveRead,
    isIdempotent: true,
    idempotencyKey: undefined,
    method: "GET",
    path: "/",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs: new SystemClock().nowMs() + 60_000,
    ...parts,
  };
}

async function* readable(text: string): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  yield Buffer.from(text);
}

describe("forwarding over HTTP", () => {
  describe("a request", () => {
    it("arrives with its key, plan rank and body", async () => {
      const hop = new Hop(() =>
        Promise.resolve(err(new RouterError(MessageCode.NotHome, "test")))
      );
      await hop.use(async () => {
        const body = Buffer.from("content");
        await hop.forward({ planRank: 7, idempotencyKey: "once", body });
        const [received] = hop.home.received;
        assert.is(received?.key, "schlüssel/ñ");
        assert.is(received?.planRank, 7);
        assert.is(received?.idempotencyKey, "once");
        assert.is(Buffer.from(received!.body).toString(), "content");
      });
    });
  });

  describe("a drain of the peer server", () => {
    it("waits for the in-flight request", async () => {
      let answer: (result: DispatchResult) => void = () => {};
      const hop = new Hop(() => new Promise((resolve) => answer = resolve));
      await hop.use(async () => {
        const forwarded = hop.forward();
        while (hop.home.received.length === 0) {
          await new Promise((resolve) => setImmediate(resolve));
        }
        let isDrained = false;
        const drained = hop.drain().then(() => isDrained = true);
        for (let turn = 0; turn < 10; turn++) {
          await new Promise((resolve) => setImmediate(resolve));
        }
        assert.is(isDrained, false);
        answer(err(new RouterError(MessageCode.NotHome, "test")));
        const result = await forwarded;
        await drained;
        assert.is(result._unsafeUnwrapErr().code, MessageCode.NotHome);
      });
    });
  });

  describe("an unexpected error of the home", () => {
    it("is reported with an unknown outcome", async () => {
      const hop = new Hop(() => Promise.reject(new Error("defect")));
      await hop.use(async () => {
        const result = await hop.forward();
        const { outcome } = result._unsafeUnwrapErr();
        assert.is(outcome, AttemptOutcome.Unknown);
      });
    });
  });

  describe("a failure", () => {
    it("keeps its code and outcome", async () => {
      const hop = new Hop(() =>
        Promise.resolve(err(
          new RouterError(MessageCode.BackendRefused, "send", {
            outcome: AttemptOutcome.RefusedUnrun,
          }),
        ))
      );
      await hop.use(async () => {
        const result = await hop.forward();
        assert.ok(result.isErr());
        assert.is(result.error.code, MessageCode.BackendRefused);
        assert.is(result.error.outcome, AttemptOutcome.RefusedUnrun);
      });
    });
  });

  describe("an answer with a header that daemons use among themselves", () => {
    // Guards against a server's word that a request which it has run has not.
    it("is not read as a failure of the home", async () => {
      const failure = encodeFailure(
        new RouterError(MessageCode.BackendRefused, "send", {
          outcome: AttemptOutcome.RefusedUnrun,
        }),
      );
      const headers = {
        [failureHeader]: Buffer.from(failure).toString("base64url"),
        "x-kept": "yes",
      };
      const hop = new Hop(() =>
        Promise.resolve(ok({ status: 200, headers, body: readable("ran") }))
      );
      await hop.use(async () => {
        const result = await hop.forward();
        assert.ok(result.isOk());
        assert.is(result.value.headers["x-kept"], "yes");
        assert.is(await readText(result.value.body, 100), "ran");
      });
    });
  });

  describe("an answer that is cut short", () => {
    it("fails for the reader too", async () => {
      async function* body(): AsyncGenerator<Uint8Array> {
        yield Buffer.from("part");
        await new Promise((resolve) => setImmediate(resolve));
        throw new RouterError(MessageCode.AnswerTruncated, "read answer");
      }
      const hop = new Hop(() =>
        Promise.resolve(ok({ status: 200, headers: {}, body: body() }))
      );
      await hop.use(async () => {
        const result = await hop.forward();
        assert.ok(result.isOk());
        let isBroken = false;
        try {
          for await (const _chunk of result.value.body);
        } catch {
          isBroken = true;
        }
        assert.ok(isBroken);
      });
    });
  });

  describe("a request whose body does not end", () => {
    /** Sends a forwarded request with a body until the listener closes the connection; returns false when it has not done so in time. */
    async function sendEndlessBody(
      port: number,
      { limitMs }: { readonly limitMs: number },
    ): Promise<boolean> {
      const head = [
        `POST ${forwardPath} HTTP/1.1`,
        "Host: peer",
        `Authorization: Bearer ${secret}`,
        `${forwardHeader}: ${encodeForward(createRequest({}), 0)}`,
        "Transfer-Encoding: chunked",
      ];
      const chunk = `10000\r\n${"x".repeat(0x10000)}\r\n`;
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {});
      socket.resume();
      let isClosed = false;
      socket.once("close", () => isClosed = true);
      socket.write(`${head.join("\r\n")}\r\n\r\n`);
      const endsAtMs = performance.now() + limitMs;
      while (!isClosed && performance.now() < endsAtMs) {
        if (!socket.write(chunk)) await delay(1);
      }
      socket.destroy();
      return isClosed;
    }

    it("is refused once its body is larger than a caller's may be", async () => {
      const hop = new Hop(() => new Promise(() => {}));
      await hop.use(async () => {
        const limitMs = 3_000;
        const isClosed = await sendEndlessBody(hop.port(), { limitMs });
        assert.ok(isClosed, "the connection is still open");
        assert.is(hop.home.received.length, 0);
      });
    });
  });

  describe("a cancelled request", () => {
    it("aborts the signal that its home received", async () => {
      let noteAborted: () => void = () => {};
      const aborted = new Promise<void>((resolve) => noteAborted = resolve);
      const caller = new AbortController();
      const hop = new Hop((_request, signal) => {
        signal.addEventListener("abort", () => noteAborted());
        caller.abort();
        return new Promise(() => {});
      });
      await hop.use(async () => {
        const result = await hop.forward({}, caller.signal);
        assert.is(
          result.isErr() && result.error.outcome,
          AttemptOutcome.Unknown,
        );
        await aborted;
      });
    });
  });
});
