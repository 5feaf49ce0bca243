import { Agent, request as startRequest } from "node:http";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import {
  type Execution,
  type KeyServerStandin,
  ServerFault,
} from "../../standins/fleet/key_server_standin.ts";
import { SmallService } from "../../standins/fleet/small_configuration.ts";
import {
  type SmallDaemon,
  SmallFleet,
} from "../../standins/fleet/small_fleet.ts";
import { LogEvent } from "../diagnostics/log_events.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { describe, it } from "../testing/describe.ts";

const readyTimeoutMs = 8_000;
const removalTimeoutMs = 8_000;
const serviceTimeMs = 10;
/** Time between two requests of a caller that always has one in flight. */
const pipelineGapMs = 50;

const requestsOfEachKind = [
  { kind: "confirmation", path: "/pay/confirm", method: "POST" },
  { kind: "upload", path: "/artwork/a", method: "POST" },
  { kind: "read of a key", path: "/roster/x", key: 9 },
  { kind: "download", path: "/packs/p" },
];

interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

let requestCount = 0;

/** Sends one request on a new connection. */
function sendRequest(
  daemon: SmallDaemon,
  options: {
    readonly path: string;
    readonly method?: string;
    readonly key?: number;
    readonly body?: string;
    readonly port?: number;
    readonly timeoutMs?: number;
    /** A new connection for the request when omitted. */
    readonly agent?: Agent;
  },
): Promise<Answer & { readonly id: string }> {
  const id = `request-${++requestCount}`;
  return new Promise((resolve, reject) => {
    const request = startRequest({
      host: "127.0.0.1",
      port: options.port ?? daemon.callersPort,
      path: options.path,
      method: options.method ?? "GET",
      agent: options.agent ?? new Agent(),
      headers: {
        host: "app.example",
        "x-request-id": id,
        "x-timeout-ms": String(options.timeoutMs ?? 2_000),
        ...(options.key === undefined ? {} : { "x-shard-key": options.key }),
      },
    }, (response) => {
      text(response).then((body) =>
        resolve({
          id,
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
        }), reject);
    });
    request.on("error", reject);
    request.end(options.body);
  });
}

async function waitUntilReady(daemon: SmallDaemon): Promise<void> {
  const deadlineAtMs = Date.now() + readyTimeoutMs;
  while (Date.now() < deadlineAtMs) {
    const { status } = await sendRequest(daemon, {
      path: "/api/readyz",
      port: daemon.readinessPort,
    });
    if (status === 200) return;
    await delay(50);
  }
  throw new Error("the daemon did not become ready");
}

/** Runs a test over a fleet, which is stopped also when the test fails. */
async function withFleet(
  daemonCount: number,
  run: (fleet: SmallFleet) => Promise<void>,
  servers = { countOfService: 3, serviceTimeMs },
): Promise<void> {
  const fleet = new SmallFleet();
  try {
    await fleet.start();
    await startFleet(fleet, { daemonCount, ...servers });
    await run(fleet);
  } finally {
    await fleet.stop();
  }
}

async function startFleet(
  fleet: SmallFleet,
  { daemonCount, countOfService, serviceTimeMs }: {
    readonly daemonCount: number;
    readonly countOfService: number;
    readonly serviceTimeMs: number;
  },
): Promise<void> {
  for (let i = 0; i < countOfService; i++) {
    await fleet.addServer(SmallService.Roster, { serviceTimeMs });
    await fleet.addServer(SmallService.Pay, { serviceTimeMs });
  }
  for (let i = 0; i < daemonCount; i++) await fleet.addDaemon();
  for (const daemon of fleet.daemons) await waitUntilReady(daemon);
  await delay(300);
}

describe("the fleet daemon", () => {
  describe("without faults", () => {
    it("forwards each request to the owner of its key and returns the answer", () =>
      withFleet(2, async (fleet) => {
        for (const daemon of fleet.daemons) {
          for (let key = 0; key < 65_536; key += 4_681) {
            const answer = await sendRequest(daemon, {
              path: "/roster/x",
              key,
            });
            assert.is(answer.status, 200, answer.body);
            assert.is(answer.body, `answer to ${answer.id}`);
            assert.ok(answer.headers["x-response-signature"]);
          }
        }
      }));

    it("forwards bodies unchanged", () =>
      withFleet(1, async (fleet) => {
        const body = "x".repeat(40_000);
        const answer = await sendRequest(fleet.daemons[0]!, {
          path: "/pay/confirm?a=1",
          method: "POST",
          body,
        });
        assert.is(answer.status, 200);
        const executions = fleet.servers.flatMap((server) => server.executions);
        assert.is(executions.length, 1);
        assert.is(executions[0]!.body, body);
        assert.is(executions[0]!.path, "/pay/confirm?a=1");
      }));

    it("answers pipelined requests in the order in which they were sent", () =>
      withFleet(1, async (fleet) => {
        const answers = await pipeline(fleet.daemons[0]!, 6);
        assert.equal(
          answers.match(/answer to p\d/g),
          [0, 1, 2, 3, 4, 5].map((i) => `answer to p${i}`),
        );
      }));

    it("puts a new route in force on every daemon", () =>
      withFleet(2, async (fleet) => {
        fleet.configure(["/added/"]);
        await delay(1_000);
        for (const daemon of fleet.daemons) {
          const { status } = await sendRequest(daemon, { path: "/added/x" });
          assert.is(status, 200);
        }
      }));

    it("answers a path without a route with status 404", () =>
      withFleet(1, async (fleet) => {
        const { status } = await sendRequest(fleet.daemons[0]!, {
          path: "/none/",
        });
        assert.is(status, 404);
      }));
  });

  describe("without a configuration", () => {
    it("answers that the request was not run, and is not ready", () =>
      withFleet(0, async (fleet) => {
        fleet.store.fault = { isDown: true, delayMs: 0, lostAnswerFraction: 0 };
        const daemon = await fleet.addDaemon();
        const { status, headers } = await sendRequest(daemon, {
          path: "/pay/x",
        });
        assert.is(status, 503);
        assert.ok(Number(headers["retry-after"]) > 0);
        const ready = await sendRequest(daemon, {
          path: "/api/readyz",
          port: daemon.readinessPort,
        });
        assert.is(ready.status, 503);
      }));
  });

  describe("when backend servers or the store fail", () => {
    it("does not run a confirmation twice, nor answer that it was not run", () =>
      withFleet(1, async (fleet) => {
        for (const server of fleet.servers) {
          server.fault = ServerFault.LosesAnswers;
        }
        const { id, status } = await sendRequest(fleet.daemons[0]!, {
          path: "/pay/confirm",
          method: "POST",
          body: "b",
        });
        assert.is(status, 502);
        const executions = fleet.servers.flatMap((server) => server.executions)
          .filter(({ requestId }) => requestId === id);
        assert.is(executions.length, 1);
      }));

    it("does not hold a read whose owner broke the connection off", () =>
      withFleet(1, async (fleet) => {
        for (const server of fleet.servers) {
          server.fault = ServerFault.LosesAnswers;
        }
        const sentAtMs = performance.now();
        const { status } = await sendRequest(fleet.daemons[0]!, {
          path: "/roster/x",
          key: 9,
        });
        const tookMs = performance.now() - sentAtMs;
        assert.is(status, 502);
        // A request for a moving key is held for 0.35 s of its objective.
        assert.ok(tookMs < 200, `${tookMs} ms`);
      }));

    it("returns a server's failure of a confirmation unchanged", () =>
      withFleet(1, async (fleet) => {
        for (const server of fleet.servers) server.fault = ServerFault.Fails;
        const answer = await sendRequest(fleet.daemons[0]!, {
          path: "/pay/confirm",
          method: "POST",
        });
        assert.is(answer.status, 500);
        assert.ok(answer.headers["x-response-signature"]);
      }));

    it("continues to serve while the store is down", () =>
      withFleet(2, async (fleet) => {
        fleet.store.fault = { isDown: true, delayMs: 0, lostAnswerFraction: 0 };
        await delay(5_000);
        for (const daemon of fleet.daemons) {
          const { status } = await sendRequest(daemon, {
            path: "/roster/x",
            key: 9,
          });
          assert.is(status, 200);
        }
      }));
  });

  describe("when a server runs a request and fails it with a status that means not run", () => {
    const statuses = [408, 421, 429, 503];

    for (const { kind, ...options } of requestsOfEachKind) {
      // Guards against a promise that work which has run has not, so that its caller sends it again.
      it(`does not tell the caller that it has not run (${kind})`, () =>
        withFleet(1, async (fleet) => {
          const [daemon] = fleet.daemons as [SmallDaemon];
          for (const failureStatus of statuses) {
            failWith(fleet.servers, failureStatus);
            const answer = await sendRequest(daemon, options);
            assert.is(answer.status, 502, `for ${failureStatus}`);
            assert.is(answer.headers["x-response-signature"], undefined);
            assert.is(answer.headers["retry-after"], undefined);
            const runCount = listExecutions(fleet, answer.id).length;
            const isRepeated = kind === "download";
            assert.is(runCount, isRepeated ? 2 : 1, `for ${failureStatus}`);
            const line = daemon.log.lines
              .find(({ fields }) => fields.id === answer.id);
            assert.is(line?.fields.reason, "ambiguous-refusal");
          }
        }));
    }

    it("sends a request that may be repeated to another server", () =>
      withFleet(1, async (fleet) => {
        const failing = await findPreferredServer(fleet);
        let failureCount = 0;
        for (const failureStatus of statuses) {
          failWith([failing], failureStatus);
          if (await readUntilFailed(fleet, failing)) failureCount += 1;
        }
        assert.ok(failureCount > 0);
      }));
  });

  describe("when a server answers with a status that is none of HTTP's", () => {
    const cases = [
      ...requestsOfEachKind.map((request) => ({ request, failureStatus: 0 })),
      ...[99, 600, 999].map((failureStatus) => ({
        request: requestsOfEachKind[0]!,
        failureStatus,
      })),
    ];

    for (const { request: { kind, ...options }, failureStatus } of cases) {
      // Guards against an answer that its caller can't read, and against the loss of its connection.
      it(`answers the caller itself, on a connection that stays open (${kind}, ${failureStatus})`, () =>
        withFleet(1, async (fleet) => {
          const agent = new Agent({ keepAlive: true, maxSockets: 1 });
          const [daemon] = fleet.daemons as [SmallDaemon];
          failWith(fleet.servers, failureStatus);
          const answer = await sendRequest(daemon, { ...options, agent });
          assert.is(answer.status, 502);
          assert.is(answer.headers["x-response-signature"], undefined);
          assert.is(answer.headers.connection, "keep-alive");
          const runCount = listExecutions(fleet, answer.id).length;
          assert.is(runCount, kind === "download" ? 2 : 1);
          agent.destroy();
        }));
    }

    it("sends a request that may be repeated to another server", () =>
      withFleet(1, async (fleet) => {
        const failing = await findPreferredServer(fleet);
        failWith([failing], 0);
        assert.ok(await readUntilFailed(fleet, failing));
      }));
  });

  describe("when a server loses an answer", () => {
    // Guards against a new connection for each request afterwards.
    it("goes on using connections that were idle for as long", async () => {
      const fleet = new SmallFleet();
      const pauseMs = 300;
      try {
        await fleet.start();
        const server = await fleet.addServer(SmallService.Pay, {
          serviceTimeMs: 120,
        });
        await fleet.addServer(SmallService.Roster, { serviceTimeMs });
        const daemon = await fleet.addDaemon();
        await waitUntilReady(daemon);
        const confirm = async () => {
          const options = { path: "/pay/x", method: "POST", body: "b" };
          const { status } = await sendRequest(daemon, options);
          await delay(pauseMs);
          return status;
        };
        assert.is(await confirm(), 200);
        server.fault = ServerFault.LosesAnswers;
        assert.is(await confirm(), 502);
        server.fault = ServerFault.None;
        assert.is(await confirm(), 200);
        const { connectionCount } = server;
        for (let i = 0; i < 3; i++) assert.is(await confirm(), 200);
        assert.is(server.connectionCount, connectionCount);
      } finally {
        await fleet.stop();
      }
    });
  });

  describe("when an upload is refused before it has arrived", () => {
    const maxHeldBytes = 262_144;

    it("sends a body that is still held to another server, once and whole", () =>
      withFleet(1, async (fleet) => {
        const refusing = await findPreferredServer(fleet);
        refusing.fault = ServerFault.RefusesEarly;
        const body = "0123456789".repeat(maxHeldBytes / 20);
        for (let i = 0; i < 12; i++) {
          const { status, id } = await sendRequest(fleet.daemons[0]!, {
            path: "/artwork/logo",
            method: "POST",
            body,
          });
          assert.is(status, 200);
          const executions = listExecutions(fleet, id);
          assert.is(executions.length, 1);
          assert.ok(executions[0]!.body === body);
        }
        assert.ok(refusing.arrivalCount > 1);
      }));

    it("streams a body that is too long to be held", () =>
      withFleet(1, async (fleet) => {
        const body = "0123456789".repeat(maxHeldBytes / 4);
        const { status, id } = await sendRequest(fleet.daemons[0]!, {
          path: "/artwork/logo",
          method: "POST",
          body,
        });
        assert.is(status, 200);
        assert.ok(listExecutions(fleet, id)[0]!.body === body);
      }));

    it("runs a long body that is refused at most once, and says truly that it did not run", () =>
      withFleet(1, async (fleet) => {
        for (const server of payServers(fleet)) {
          server.fault = ServerFault.RefusesEarly;
        }
        const { status, id, headers } = await sendRequest(fleet.daemons[0]!, {
          path: "/artwork/logo",
          method: "POST",
          body: "x".repeat(3 * maxHeldBytes),
        });
        assert.is(status, 503);
        assert.ok(Number(headers["retry-after"]) > 0);
        for (const server of payServers(fleet)) server.fault = ServerFault.None;
        await delay(300);
        assert.is(listExecutions(fleet, id).length, 0);
      }));
  });

  describe("when a server announces in its answers that it leaves", () => {
    it("sends the server no further request although its entry says ready", () =>
      withFleet(1, async (fleet) => {
        const options = { path: "/pay/x", method: "POST" };
        const leaving = await findPreferredServer(fleet);
        leaving.isLeaving = true;
        const arrivalCount = leaving.arrivalCount + 1;
        await sendUntilArrived(fleet, leaving);
        assert.is(leaving.arrivalCount, arrivalCount);
        for (let i = 0; i < 20; i++) {
          const { status } = await sendRequest(fleet.daemons[0]!, options);
          assert.is(status, 200);
        }
        assert.is(leaving.arrivalCount, arrivalCount);
      }));

    it("moves the keys of the server and does not tell its callers", () =>
      withFleet(1, async (fleet) => {
        const leaving = fleet.servers[0]!;
        // The granter moves keys once all running servers are certainly registered.
        await delay(2_500);
        leaving.isLeaving = true;
        const heldKeys = Array.from({ length: 64 }, (_, i) => i * 1_024 + 1)
          .filter((key) => leaving.keyServer.holds(key, performance.now()));
        assert.ok(heldKeys.length > 5);
        const first = await sendRequest(fleet.daemons[0]!, {
          path: "/roster/x",
          key: heldKeys[0]!,
        });
        assert.is(first.headers["server-leaving"], undefined);
        await delay(1_500);
        const arrivalCount = leaving.arrivalCount;
        for (const key of heldKeys) {
          const { status, body } = await sendRequest(fleet.daemons[0]!, {
            path: "/roster/x",
            key,
          });
          assert.is(status, 200, `key ${key}: ${body}`);
        }
        assert.is(leaving.arrivalCount, arrivalCount);
      }));
  });

  describe("when owners refuse requests although they have free slots", () => {
    it("sends each request to its owner once more", () =>
      withFleet(1, async (fleet) => {
        for (const server of fleet.servers) {
          server.fault = ServerFault.ShedsWithRoom;
        }
        for (let i = 0; i < 12; i++) {
          const { status, id } = await sendRequest(fleet.daemons[0]!, {
            path: "/roster/x",
            key: i * 5_000,
          });
          assert.is(status, 200);
          assert.is(listExecutions(fleet, id).length, 1);
        }
      }));
  });

  describe("when a server asks for a pause", () => {
    it("sends requests to other servers until the pause ends", () =>
      withFleet(1, async (fleet) => {
        const options = { path: "/pay/x", method: "POST" };
        const pausing = await findPreferredServer(fleet);
        pausing.fault = ServerFault.Pauses;
        pausing.pauseSeconds = 1.5;
        const arrivalCount = pausing.arrivalCount + 1;
        await sendUntilArrived(fleet, pausing);
        assert.is(pausing.arrivalCount, arrivalCount);
        pausing.fault = ServerFault.None;
        const pausedAtMs = performance.now();
        while (performance.now() - pausedAtMs < 1_300) {
          assert.is(
            (await sendRequest(fleet.daemons[0]!, options)).status,
            200,
          );
        }
        assert.is(pausing.arrivalCount, arrivalCount);
        await delay(400);
        // Without the other servers, this one is needed again.
        await removeServers(
          fleet,
          payServers(fleet).filter((server) => server !== pausing),
        );
        assert.is((await sendRequest(fleet.daemons[0]!, options)).status, 200);
        assert.is(pausing.arrivalCount, arrivalCount + 1);
      }));

    it("refuses requests for its keys at once, until the pause ends", () =>
      withFleet(1, async (fleet) => {
        for (const server of fleet.servers) server.fault = ServerFault.Pauses;
        const options = { path: "/roster/x", key: 9, timeoutMs: 5_000 };
        await sendRequest(fleet.daemons[0]!, options);
        const countArrivals = () =>
          fleet.servers.reduce(
            (sum, { arrivalCount }) => sum + arrivalCount,
            0,
          );
        assert.is(countArrivals(), 1);
        const sentAtMs = performance.now();
        const refused = await sendRequest(fleet.daemons[0]!, {
          ...options,
          timeoutMs: 800,
        });
        assert.is(refused.status, 503);
        assert.ok(performance.now() - sentAtMs < 100);
        assert.ok(Number(refused.headers["retry-after"]) <= 0.8);
        const patient = await sendRequest(fleet.daemons[0]!, options);
        const retryAfter = Number(patient.headers["retry-after"]);
        const pauseSeconds = fleet.servers[0]!.pauseSeconds;
        assert.ok(
          retryAfter > pauseSeconds / 2 && retryAfter < pauseSeconds + 0.5,
          `${retryAfter} s`,
        );
        assert.is(countArrivals(), 1);
      }));
  });

  describe("when an answer without a length does not arrive whole", () => {
    /** More than is buffered before the caller gets any byte. */
    const paddingBytes = 1_500_000;

    function breakOffAnswers(fleet: SmallFleet, breakOffDelayMs: number) {
      for (const server of fleet.servers) {
        server.fault = ServerFault.BreaksOffWithoutLength;
        Object.assign(server, { paddingBytes, breakOffDelayMs });
      }
    }

    // Guards against part of an answer that looks complete.
    it("resets the caller's connection when the server breaks off", () =>
      withFleet(1, async (fleet) => {
        // By then the daemon has passed the first bytes on. A reset before that
        // is answered as a failure, on a connection that stays open.
        breakOffAnswers(fleet, 500);
        const { byteCount, end } = await readToEnd(fleet.daemons[0]!);
        assert.ok(byteCount > 0);
        assert.is(end, "ECONNRESET");
      }));

    // Guards against part of an answer that looks complete.
    it("resets the caller's connection when the daemon stops", () =>
      withFleet(1, async (fleet) => {
        breakOffAnswers(fleet, 60_000);
        const { byteCount, end } = await readToEnd(
          fleet.daemons[0]!,
          () => void fleet.daemons[0]!.kernel.stop(),
        );
        assert.ok(byteCount > 0);
        assert.is(end, "ECONNRESET");
      }));
  });

  describe("when operators evacuate a data centre", () => {
    const slowServiceTimeMs = 700;
    const evacuationMs = 1_500;

    /** Adds a data centre whose servers are slow. */
    async function addDataCentre(fleet: SmallFleet, zone: string) {
      const options = { serviceTimeMs: slowServiceTimeMs, zone };
      return [
        await fleet.addServer(SmallService.Roster, options),
        await fleet.addServer(SmallService.Pay, options),
      ];
    }

    it("ends what runs there, and serves all keys elsewhere, also with a daemon that starts later", () =>
      withFleet(1, async (fleet) => {
        const evacuated = await addDataCentre(fleet, "zone-b");
        // The granter moves keys once all running servers are certainly registered.
        await delay(4_000);
        const [keyed] = evacuated;
        const key = Array.from({ length: 4_096 }, (_, i) => i * 16)
          .find((k) => keyed!.keyServer.holds(k, performance.now()));
        assert.ok(key !== undefined);
        const [daemon] = fleet.daemons;
        const running = sendRequest(daemon!, { path: "/roster/x", key });
        await delay(slowServiceTimeMs / 3);
        fleet.store.evacuate("zone-b");
        assert.is((await running).status, 200);
        assert.is(keyed!.executions.length, 1);
        await delay(evacuationMs);
        await fleet.addDaemon();
        await waitUntilReady(fleet.daemons[1]!);
        const arrivalCounts = evacuated.map((server) => server.arrivalCount);
        for (const target of fleet.daemons) {
          for (let i = 0; i < 16; i++) {
            const { status } = await sendRequest(target, {
              path: "/roster/x",
              key: i * 4_096,
            });
            assert.is(status, 200, `key ${i * 4_096}`);
            const options = { path: "/pay/x", method: "POST" };
            assert.is((await sendRequest(target, options)).status, 200);
          }
        }
        assert.equal(
          evacuated.map((server) => server.arrivalCount),
          arrivalCounts,
        );
      }));

    it("refuses everything at once, as not run, when no data centre is left", () =>
      withFleet(1, async (fleet) => {
        const [daemon] = fleet.daemons;
        fleet.store.evacuate("zone-a");
        await delay(evacuationMs);
        const requests = [
          { path: "/roster/x", key: 7 },
          { path: "/pay/x", method: "POST" },
        ];
        for (const options of requests) {
          const startedAtMs = performance.now();
          const { id, status, headers } = await sendRequest(daemon!, options);
          assert.is(status, 503);
          assert.ok(Number(headers["retry-after"]) > 0);
          assert.ok(performance.now() - startedAtMs < 200);
          const line = daemon!.log.lines.find(({ fields }) => fields.id === id);
          assert.is(line?.fields.reason, "evacuated");
        }
        fleet.store.endEvacuation("zone-a");
        await delay(evacuationMs);
        for (const options of requests) {
          assert.is((await sendRequest(daemon!, options)).status, 200);
        }
      }));
  });

  describe("while it leaves", () => {
    it("answers the requests that it receives and closes their connections", () =>
      withFleet(1, async (fleet) => {
        const [daemon] = fleet.daemons as [SmallDaemon];
        const leaving = daemon.kernel.get(ServiceName.Gateway).leave();
        const ready = await sendRequest(daemon, {
          path: "/api/readyz",
          port: daemon.readinessPort,
        });
        assert.is(ready.status, 503);
        const answers = await pipeline(daemon, 3);
        assert.is(answers.match(/HTTP\/1.1 200/g)?.length, 3);
        assert.is(answers.match(/connection: close/gi)?.length, 1);
        await leaving;
      }));

    // Guards against requests that count as open for ever, since Node reports
    // the close of a connection only to the first of several requests.
    it("does not wait for pipelined requests whose caller has disconnected", () =>
      withFleet(1, async (fleet) => {
        const [daemon] = fleet.daemons as [SmallDaemon];
        const socket = connect(daemon.callersPort, "127.0.0.1");
        for (let i = 0; i < 6; i++) {
          socket.write(
            `GET /roster/${i} HTTP/1.1\r\nHost: app.example\r\n` +
              `X-Request-Id: gone${i}\r\nX-Timeout-Ms: 2000\r\n` +
              `X-Shard-Key: ${i * 10_000}\r\n\r\n`,
          );
        }
        const countArrivals = () =>
          fleet.servers.reduce(
            (sum, { arrivalCount }) => sum + arrivalCount,
            0,
          );
        while (countArrivals() < 2) await delay(1);
        socket.destroy();
        await daemon.kernel.get(ServiceName.Gateway).leave();
        const line = daemon.log.lines
          .find(({ event }) => event === LogEvent.CallersDisconnected);
        assert.is(line?.fields.cutOffCount, 0);
      }));

    // Guards against a reset that discards the end of the last answer.
    it("sends the whole last answer to a caller that sends another request behind it", () =>
      withFleet(1, async (fleet) => {
        const [daemon] = fleet.daemons as [SmallDaemon];
        const paddingBytes = 900_000;
        for (const server of fleet.servers) server.paddingBytes = paddingBytes;
        const leaving = daemon.kernel.get(ServiceName.Gateway).leave();
        const byteCounts = await Promise.all(
          Array.from({ length: 8 }, () => sendBehindLastAnswer(daemon)),
        );
        const smallest = Math.min(...byteCounts);
        assert.ok(smallest > paddingBytes, `${smallest} bytes`);
        await leaving;
      }));

    // Guards against requests that are taken on a pipelined connection until
    // the process ends, and are then cut off.
    it("takes no request that it will not answer from callers that always have one in flight", () =>
      withFleet(1, async (fleet) => {
        const [daemon] = fleet.daemons as [SmallDaemon];
        const received = Promise.all(
          Array.from({ length: 8 }, () => pipelineUntilClosed(daemon)),
        );
        await daemon.kernel.get(ServiceName.Gateway).leave();
        await daemon.kernel.stop();
        const answers = (await received).join("");
        const unanswered = fleet.servers
          .flatMap(({ executions }) => executions)
          .filter(({ requestId }) =>
            !answers.includes(`answer to ${requestId}`)
          );
        assert.is(unanswered.length, 0);
        assert.is(answers.match(/connection: close/gi)?.length, 8);
        // A service time of two sends, so that a late timer leaves no moment
        // without a request in flight.
      }, { countOfService: 6, serviceTimeMs: 2 * pipelineGapMs }));

    it("sends large answers to slow callers completely", () =>
      withFleet(1, async (fleet) => {
        const [daemon] = fleet.daemons as [SmallDaemon];
        const paddingBytes = 900_000;
        for (const server of fleet.servers) server.paddingBytes = paddingBytes;
        const leaving = daemon.kernel.get(ServiceName.Gateway).leave();
        await delay(2_500);
        const byteCount = await readSlowly(daemon, {
          requestCount: 16,
          pauseMs: 1_000,
        });
        assert.ok(byteCount > 16 * paddingBytes, `${byteCount} bytes`);
        await leaving;
      }));
  });
});

/** Makes servers run requests and fail them with a status. */
function failWith(
  servers: readonly KeyServerStandin[],
  failureStatus: number,
): void {
  for (const server of servers) {
    Object.assign(server, { fault: ServerFault.Fails, failureStatus });
  }
}

/** The servers of the service that is not sharded. */
function payServers({ servers }: SmallFleet): KeyServerStandin[] {
  return servers.filter((_, i) => i % 2 === 1);
}

/** Removes the entries of servers from the store, and waits until the daemon knows. */
async function removeServers(
  fleet: SmallFleet,
  servers: readonly KeyServerStandin[],
): Promise<void> {
  const ids = servers.map(({ keyServer }) => keyServer.entry.id);
  for (const id of ids) fleet.store.removeServer(id);
  const directory = fleet.daemons[0]!.kernel.get(ServiceName.Directory);
  const deadlineAtMs = Date.now() + removalTimeoutMs;
  while (ids.some((id) => directory.tryGet(id) !== undefined)) {
    if (Date.now() > deadlineAtMs) throw new Error("servers are still known");
    await delay(20);
  }
}

/** The server to which most of some requests of a new daemon go, one after the other. */
async function findPreferredServer(
  fleet: SmallFleet,
): Promise<KeyServerStandin> {
  for (let i = 0; i < 12; i++) {
    await sendRequest(fleet.daemons[0]!, { path: "/pay/x", method: "POST" });
  }
  return payServers(fleet)
    .reduce((a, b) => b.arrivalCount > a.arrivalCount ? b : a);
}

/** Sends reads, all of which must succeed, until `server` has run and failed one; false if none came to it. */
async function readUntilFailed(
  fleet: SmallFleet,
  server: KeyServerStandin,
): Promise<boolean> {
  const runCount = server.executions.length;
  for (let i = 0; i < 50 && server.executions.length === runCount; i++) {
    const options = { path: "/packs/p" };
    assert.is((await sendRequest(fleet.daemons[0]!, options)).status, 200);
  }
  return server.executions.length > runCount;
}

/** Sends requests to any server, all of which must succeed, until one more has arrived at `server`. */
async function sendUntilArrived(
  fleet: SmallFleet,
  server: KeyServerStandin,
): Promise<void> {
  const arrivalCount = server.arrivalCount;
  for (let i = 0; i < 50 && server.arrivalCount === arrivalCount; i++) {
    const options = { path: "/pay/x", method: "POST" };
    assert.is((await sendRequest(fleet.daemons[0]!, options)).status, 200);
  }
}

function listExecutions(fleet: SmallFleet, id: string): Execution[] {
  return fleet.servers.flatMap(({ executions }) => executions)
    .filter(({ requestId }) => requestId === id);
}

/** Sends a request; resolves with the number of received bytes and "end" or the code of the error that ended the connection. */
function readToEnd(
  daemon: SmallDaemon,
  onFirstBytes: () => void = () => {},
): Promise<{ readonly byteCount: number; readonly end: string }> {
  return new Promise((resolve) => {
    const socket = connect(daemon.callersPort, "127.0.0.1");
    let byteCount = 0;
    socket.once("data", onFirstBytes);
    socket.on("data", (chunk) => byteCount += chunk.length);
    // A reset that is read together with the last bytes is reported like an
    // orderly end, but the connection then has no peer any more.
    socket.on("end", () => {
      const wasReset = socket.remotePort === undefined;
      resolve({ byteCount, end: wasReset ? "ECONNRESET" : "end" });
    });
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        resolve({ byteCount, end: error.code ?? error.message }),
    );
    socket.write(
      "GET /roster/large HTTP/1.1\r\nHost: app.example\r\n" +
        "X-Request-Id: large\r\nX-Timeout-Ms: 2000\r\nX-Shard-Key: 9\r\n\r\n",
    );
  });
}

/** Sends requests on one connection and starts to read the answers after a pause; resolves with the number of bytes. */
function readSlowly(
  daemon: SmallDaemon,
  options: { readonly requestCount: number; readonly pauseMs: number },
): Promise<number> {
  return new Promise((resolve, reject) => {
    const socket = connect(daemon.callersPort, "127.0.0.1");
    let byteCount = 0;
    socket.pause();
    socket.on("data", (chunk) => byteCount += chunk.length);
    socket.on("error", reject);
    socket.on("close", () => resolve(byteCount));
    for (let i = 0; i < options.requestCount; i++) {
      socket.write(
        "GET /roster/large HTTP/1.1\r\nHost: app.example\r\n" +
          `X-Request-Id: slow${i}\r\nX-Timeout-Ms: 2000\r\n` +
          `X-Shard-Key: ${i * 4_000}\r\n\r\n`,
      );
    }
    setTimeout(() => socket.resume(), options.pauseMs);
  });
}

/**
 * Sends a request and, from the first byte of its answer on, further requests
 * until the daemon closes the connection; resolves with the number of bytes
 * that were received.
 */
async function sendBehindLastAnswer(daemon: SmallDaemon): Promise<number> {
  const socket = connect(daemon.callersPort, "127.0.0.1");
  let byteCount = 0;
  let isClosed = false;
  socket.on("error", () => {});
  for (const event of ["end", "close"]) {
    socket.on(event, () => isClosed = true);
  }
  const send = () =>
    void socket.write(
      "GET /roster/x HTTP/1.1\r\nHost: app.example\r\n" +
        `X-Request-Id: behind-${++requestCount}\r\n` +
        "X-Timeout-Ms: 2000\r\nX-Shard-Key: 9\r\n\r\n",
    );
  send();
  await new Promise<void>((resolve) => {
    socket.on("data", (chunk) => {
      byteCount += chunk.length;
      resolve();
    });
  });
  while (!isClosed) {
    // Reads slowly, as over a long link.
    socket.pause();
    send();
    await delay(5);
    socket.resume();
    await delay(1);
  }
  socket.destroy();
  return byteCount;
}

/**
 * Sends requests on one connection, each before the answer to the previous one,
 * until the daemon closes it; resolves with everything that was received.
 */
async function pipelineUntilClosed(daemon: SmallDaemon): Promise<string> {
  const socket = connect(daemon.callersPort, "127.0.0.1");
  let received = "";
  let isClosed = false;
  socket.on("data", (chunk) => received += String(chunk));
  socket.on("error", () => {});
  for (const event of ["end", "close"]) {
    socket.on(event, () => isClosed = true);
  }
  while (!isClosed) {
    socket.write(
      "GET /roster/x HTTP/1.1\r\nHost: app.example\r\n" +
        `X-Request-Id: stream-${++requestCount}-\r\n` +
        `X-Timeout-Ms: 2000\r\nX-Shard-Key: ${requestCount * 997 % 65_536}` +
        "\r\n\r\n",
    );
    await delay(pipelineGapMs);
  }
  socket.destroy();
  return received;
}

/** Pipelines requests on one connection; resolves with everything that was received. */
function pipeline(daemon: SmallDaemon, count: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(daemon.callersPort, "127.0.0.1");
    let received = "";
    socket.on("data", (chunk) => {
      received += String(chunk);
      if (received.match(/answer to p\d/g)?.length === count) socket.end();
    });
    socket.on("error", reject);
    socket.on("close", () => resolve(received));
    for (let i = 0; i < count; i++) {
      socket.write(
        `GET /roster/${i} HTTP/1.1\r\nHost: app.example\r\n` +
          `X-Request-Id: p${i}\r\nX-Timeout-Ms: 2000\r\n` +
          `X-Shard-Key: ${i * 10_000}\r\n\r\n`,
      );
    }
  });
}
