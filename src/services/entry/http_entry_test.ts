import { once } from "node:events";
import { connect } from "node:net";
import { err, ok } from "neverthrow";
import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  createTextResponse,
  LoopbackEntry,
  readUntil,
  readUntilClosed,
} from "../../testing/loopback_entry.ts";
import { AttemptOutcome, DaemonState } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import { refusalSchema } from "./refusal_schema.ts";

const customerLine = "skylark-customer: cuadrillas";

function createHead(
  target: string,
  lines: readonly string[] = [],
  method = "GET",
): string {
  return [
    `${method} ${target} HTTP/1.1`,
    "host: entry",
    customerLine,
    ...lines,
    "",
    "",
  ].join("\r\n");
}

function createClosingHead(
  target: string,
  lines: readonly string[] = [],
): string {
  return createHead(target, [...lines, "connection: close"]);
}

async function withEntry(
  run: (entry: LoopbackEntry) => Promise<void>,
  options: ConstructorParameters<typeof LoopbackEntry>[0] = {},
): Promise<void> {
  const entry = new LoopbackEntry(options);
  await entry.start();
  try {
    await run(entry);
  } finally {
    await entry.stop();
  }
}

function readRefusal(answer: string) {
  const body = answer.slice(answer.indexOf("\r\n\r\n"));
  return refusalSchema.parse(JSON.parse(body));
}

/** Connects until the listener refuses, then lets pending tasks run. */
async function waitUntilListenerClosed(entry: LoopbackEntry): Promise<void> {
  const port = entry.kernel.get(ServiceName.Entry).port();
  for (;;) {
    const socket = connect(port, "127.0.0.1");
    const isOpen = await once(socket, "connect").then(() => true, () => false);
    socket.destroy();
    if (!isOpen) break;
  }
  for (let turn = 0; turn < 10; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

interface InvalidRequest {
  readonly title: string;
  readonly text: string;
  readonly status: number;
  readonly code: MessageCode;
}

const createClosingPost = (lines: readonly string[]) =>
  createHead("/roster/k", [...lines, "connection: close"], "POST");

const invalidRequests: readonly InvalidRequest[] = [
  {
    title: "a malformed request line",
    text: "GARBAGE\r\n\r\n",
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a malformed header",
    text: "GET /roster/k HTTP/1.1\r\nno colon here\r\n\r\n",
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a missing host",
    text:
      `GET /roster/k HTTP/1.1\r\n${customerLine}\r\nconnection: close\r\n\r\n`,
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a missing customer",
    text: "GET /roster/k HTTP/1.0\r\n\r\n",
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a repeated customer",
    text: createClosingHead("/roster/k", ["skylark-customer: puddlewatch"]),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "an unknown service",
    text: createClosingHead("/nothing/k"),
    status: 404,
    code: MessageCode.ServiceUnknown,
  },
  {
    title: "a target without a key",
    text: createClosingHead("/roster"),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "an absolute target",
    text: createClosingHead("http://other/roster/k"),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a key with malformed percent-encoding",
    text: createClosingHead("/roster/%zz"),
    status: 400,
    code: MessageCode.KeyInvalid,
  },
  {
    title: "a key with a control character",
    text: createClosingHead("/roster/a%0d%0ab"),
    status: 400,
    code: MessageCode.KeyInvalid,
  },
  {
    title: "a key that is too long",
    text: createClosingHead(`/roster/${"k".repeat(257)}`),
    status: 400,
    code: MessageCode.KeyInvalid,
  },
  {
    title: "an unsupported method",
    text: createHead("/roster/k", ["connection: close"], "TRACE"),
    status: 405,
    code: MessageCode.MethodUnsupported,
  },
  {
    title: "an unsupported expectation",
    text: createClosingHead("/roster/k", ["expect: tea"]),
    status: 417,
    code: MessageCode.ExpectationUnsupported,
  },
  {
    title: "oversized headers",
    text: createClosingHead("/roster/k", [`x-large: ${"x".repeat(5_000)}`]),
    status: 431,
    code: MessageCode.HeadersTooLarge,
  },
  {
    title: "an announced body that is too large",
    text: createClosingPost(["content-length: 1001"]),
    status: 413,
    code: MessageCode.BodyTooLarge,
  },
  {
    title: "a chunked body that grows too large",
    text: createClosingPost(["transfer-encoding: chunked"]) +
      `3e9\r\n${"x".repeat(1_001)}\r\n0\r\n\r\n`,
    status: 413,
    code: MessageCode.BodyTooLarge,
  },
  {
    title: "a deadline of zero",
    text: createClosingHead("/roster/k", ["skylark-deadline-ms: 0"]),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a deadline beyond the maximum",
    text: createClosingHead("/roster/k", ["skylark-deadline-ms: 20001"]),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a deadline that is not an integer",
    text: createClosingHead("/roster/k", ["skylark-deadline-ms: 1e3"]),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a repeated idempotency key",
    text: createClosingHead("/roster/k", [
      "idempotency-key: a",
      "idempotency-key: b",
    ]),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "an empty idempotency key",
    text: createClosingHead("/roster/k", ["idempotency-key:"]),
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "content-length beside transfer-encoding",
    text:
      createClosingPost(["content-length: 4", "transfer-encoding: chunked"]) +
      "0\r\n\r\n",
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "two content-lengths",
    text: createClosingPost(["content-length: 4", "content-length: 5"]) +
      "abcd",
    status: 400,
    code: MessageCode.RequestMalformed,
  },
  {
    title: "a malformed chunk",
    text: createClosingPost(["transfer-encoding: chunked"]) + "zz\r\n",
    status: 400,
    code: MessageCode.RequestMalformed,
  },
];

describe("HttpEntry", () => {
  describe("invalid input", () => {
    for (const { title, text, status, code } of invalidRequests) {
      it(`is refused with ${status} and ${code}: ${title}`, () =>
        withEntry(async (entry) => {
          const answer = await entry.exchange(text);
          assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
          const refusal = readRefusal(answer);
          assert.is(refusal.code, code);
          assert.is(refusal.outcome, AttemptOutcome.NotSent);
          assert.is(refusal.mayHaveRun, false);
          assert.is(entry.counter(`requests.malformed{${code}}`), 1);
          assert.is(entry.delivery.delivered.length, 0);
          assert.not.match(answer, /127\.0\.0\.1/);
        }));
    }

    it("is counted but not delivered when the body ends early", () =>
      withEntry(async (entry) => {
        const socket = await entry.connect();
        socket.end(createClosingPost(["content-length: 9"]) + "abcd");
        await readUntilClosed(socket);
        assert.is(entry.delivery.delivered.length, 0);
        const truncated = `requests.malformed{${MessageCode.BodyTruncated}}`;
        const malformed = `requests.malformed{${MessageCode.RequestMalformed}}`;
        assert.is(entry.counter(truncated) + entry.counter(malformed), 1);
      }));

    it("is refused when the head does not arrive in time", () =>
      withEntry(async (entry) => {
        const answer = await entry.exchange("GET /roster/k HTTP/1.1\r\nx: ");
        assert.match(answer, /^HTTP\/1.1 408 /);
        const name = `requests.malformed{${MessageCode.RequestTimeout}}`;
        assert.is(entry.counter(name), 1);
      }, { requestTimeoutMs: 100 }));

    it("is refused and counted once when the body does not arrive in time", () =>
      withEntry(async (entry) => {
        const answer = await entry.exchange(
          createClosingPost(["content-length: 9"]) + "abc",
        );
        assert.match(answer, /^HTTP\/1.1 408 /);
        assert.is(readRefusal(answer).code, MessageCode.RequestTimeout);
        const counted = [...entry.metrics.counters()]
          .filter(([name]) => name.startsWith("requests.malformed"));
        assert.equal(counted, [[
          `requests.malformed{${MessageCode.RequestTimeout}}`,
          1,
        ]]);
        assert.is(entry.delivery.delivered.length, 0);
      }, { requestTimeoutMs: 100 }));

    it("gets no refusal while an earlier request is unanswered", () =>
      withEntry(async (entry) => {
        entry.delivery.script = () => new Promise(() => {});
        const answer = await entry.exchange(
          createHead("/roster/first") + "GARBAGE\r\n\r\n",
        );
        assert.is(entry.delivery.delivered.length, 1);
        assert.is(answer, "");
      }, { drainTimeoutMs: 50 }));
  });

  describe("a request", () => {
    it("reaches the pipeline without forged and connection headers", () =>
      withEntry(async (entry) => {
        await entry.exchange(createHead("/roster/farm%2F7/list?day=1", [
          "skylark-fence: 99",
          "skylark-request-id: forged",
          "x-private: 1",
          "x-kept: 2",
          "idempotency-key: abc",
          "connection: close, x-private",
        ]));
        const [request] = entry.delivery.delivered;
        assert.is(request?.key, "farm/7");
        assert.is(request?.path, "/list?day=1");
        assert.is(request?.planRank, 7);
        assert.equal(request?.headers, {
          "x-kept": "2",
          "idempotency-key": "abc",
        });
        assert.is.not(request?.requestId, "forged");
      }));

    it("receives its own answer, in order, when it is pipelined", () =>
      withEntry(async (entry) => {
        entry.delivery.script = async (request) => {
          const turns = request.key === "slow" ? 20 : 1;
          for (let turn = 0; turn < turns; turn++) {
            await new Promise((resolve) => setImmediate(resolve));
          }
          return ok(createTextResponse(`<${request.key}>`));
        };
        const answer = await entry.exchange(
          createHead("/roster/slow") + createHead("/roster/quick") +
            createClosingHead("/roster/last"),
        );
        const bodies = [...answer.matchAll(/<(\w+)>/g)].map((m) => m[1]);
        assert.equal(bodies, ["slow", "quick", "last"]);
      }));

    it("has its body requested only when its head is valid", () =>
      withEntry(async (entry) => {
        const lines = ["content-length: 2", "expect: 100-continue"];
        const good = await entry.connect();
        good.write(createClosingPost(lines));
        await readUntil(good, "100 Continue");
        good.write("ok");
        assert.match(await readUntilClosed(good), /^HTTP\/1.1 200 /);
        const bad = await entry.exchange(
          createHead("/nothing/k", lines, "POST"),
        );
        assert.match(bad, /^HTTP\/1.1 404 /);
        assert.not.match(bad, /100 Continue/);
      }));

    it("is answered without a body when its method is HEAD", () =>
      withEntry(async (entry) => {
        const answer = await entry.exchange(
          createHead("/roster/k", ["connection: close"], "HEAD"),
        );
        assert.match(answer, /^HTTP\/1.1 200 /);
        assert.ok(answer.endsWith("\r\n\r\n"));
      }));
  });

  describe("an answer", () => {
    it("states whether the request may have run, but no addresses", () =>
      withEntry(async (entry) => {
        entry.delivery.script = () =>
          Promise.resolve(err(
            new RouterError(MessageCode.OutcomeUnknown, "send", {
              peer: "10.0.0.7:9000",
              detail: "read ECONNRESET 10.0.0.7:9000",
              outcome: AttemptOutcome.Unknown,
              retryAfterMs: 1_500,
            }),
          ));
        const answer = await entry.exchange(createClosingHead("/roster/k"));
        const refusal = readRefusal(answer);
        assert.is(refusal.mayHaveRun, true);
        assert.is(refusal.retryAfterMs, 1_500);
        assert.match(answer, /retry-after: 2\r\n/);
        assert.not.match(answer, /10\.0\.0\.7/);
        const record = entry.kernel.get(ServiceName.RequestPipeline)
          .tryFindRefusal(refusal.requestId);
        assert.is(record?.failure.peer, "10.0.0.7:9000");
      }));

    it("is broken off when its body fails", () =>
      withEntry(async (entry) => {
        async function* brokenBody(): AsyncIterable<Uint8Array> {
          yield Buffer.from("half");
          throw new Error("reset");
        }
        entry.delivery.script = () =>
          Promise.resolve(ok({
            status: 200,
            headers: { "content-length": "8" },
            body: brokenBody(),
          }));
        const answer = await entry.exchange(createHead("/roster/k"));
        assert.ok(!answer.includes("halfhalf"));
        assert.is(entry.counter("answers.broken"), 1);
        assert.is(entry.counter("requests.answered"), 0);
      }));

    it("is broken off when the caller does not read in time", () =>
      withEntry(async (entry) => {
        let isClosed = false;
        async function* endlessBody(): AsyncIterable<Uint8Array> {
          try {
            for (;;) yield Buffer.alloc(65_536);
          } finally {
            isClosed = true;
          }
        }
        entry.delivery.script = () =>
          Promise.resolve(
            ok({ status: 200, headers: {}, body: endlessBody() }),
          );
        const socket = await entry.connect();
        socket.pause();
        socket.write(createHead("/roster/k", ["skylark-deadline-ms: 100"]));
        for (let attempt = 0; attempt < 2_000 && !isClosed; attempt++) {
          await new Promise((resolve) => setTimeout(resolve, 5));
        }
        assert.ok(isClosed);
        assert.is(entry.counter("answers.broken"), 1);
        socket.destroy();
      }));

    it("is no longer awaited when the caller disconnects", () =>
      withEntry(async (entry) => {
        const cancelled = new Promise<void>((resolve) => {
          entry.delivery.script = (_request, signal) =>
            new Promise((settle) =>
              signal.addEventListener("abort", () => {
                resolve();
                settle(err(
                  new RouterError(MessageCode.RequestCancelled, "deliver"),
                ));
              })
            );
        });
        const socket = await entry.connect();
        socket.write(createHead("/roster/k"));
        while (entry.delivery.delivered.length === 0) {
          await new Promise((resolve) => setImmediate(resolve));
        }
        socket.destroy();
        await cancelled;
      }));
  });

  describe("while it starts or drains", () => {
    it("states why it is not ready", () =>
      withEntry(async (entry) => {
        entry.lifecycle.current = DaemonState.Starting;
        entry.lifecycle.reasons = ["no assignment"];
        const answer = await entry.exchange(createClosingHead("/-/ready"));
        assert.match(answer, /^HTTP\/1.1 503 /);
        assert.match(answer, /blocked: no assignment/);
      }));

    it("finishes in-flight requests and closes their connections", async () => {
      const entry = new LoopbackEntry();
      await entry.start();
      let release = () => {};
      const released = new Promise<void>((resolve) => release = resolve);
      entry.delivery.script = async () => {
        await released;
        return ok(createTextResponse("whole"));
      };
      const socket = await entry.connect();
      socket.write(createHead("/roster/k"));
      while (entry.delivery.delivered.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      const answer = readUntilClosed(socket);
      const stopped = entry.stop();
      await waitUntilListenerClosed(entry);
      release();
      await stopped;
      assert.match(await answer, /connection: close\r\n[^]*whole/);
    });

    // Guards against a first answer that closes the connection of requests
    // behind it, which were delivered.
    it("answers pipelined requests before it closes their connection", () =>
      withEntry(async (entry) => {
        entry.lifecycle.current = DaemonState.Draining;
        const answer = await entry.exchange(
          createHead("/roster/first") + createHead("/roster/second") +
            createHead("/roster/last"),
        );
        for (const { key } of entry.delivery.delivered) {
          assert.match(answer, new RegExp(`roster/${key}`));
        }
        assert.is(answer.match(/connection: close/gi)?.length, 1);
      }));

    it("stops waiting after the drain timeout", async () => {
      const entry = new LoopbackEntry({ drainTimeoutMs: 20 });
      await entry.start();
      entry.delivery.script = () => new Promise(() => {});
      const socket = await entry.connect();
      socket.write(createHead("/roster/k"));
      while (entry.delivery.delivered.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      const closed = once(socket, "close");
      await entry.stop();
      await closed;
      assert.equal(entry.log.lines, ["drain timeout passed"]);
    });
  });
});
