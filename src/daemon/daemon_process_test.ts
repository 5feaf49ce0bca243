import * as assert from "uvu/assert";
import { request } from "undici";
import { applyExampleLists } from "../../scripts/apply_example_lists.ts";
import { DemoFleet } from "../../scripts/demo_fleet.ts";
import { findFreePort } from "../../scripts/free_port.ts";
import {
  ProcessGroup,
  type StartedProcess,
} from "../../scripts/process_group.ts";
import { describe, it } from "../testing/describe.ts";
import { DaemonExitCode } from "./exit_code.ts";

const program = "src/daemon/main.ts";
const maxAttemptCount = 1_200;
const peerSecret = "a-secret-of-this-test";
const customer = { "skylark-customer": "cuadrillas-members" };

async function waitForExit({ child }: StartedProcess): Promise<number | null> {
  while (child.exitCode === null && child.signalCode === null) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return child.exitCode;
}

async function readText(url: string) {
  const answer = await request(url, { headers: { connection: "close" } });
  return { status: answer.statusCode, text: await answer.body.text() };
}

/** Polls a URL until its answer satisfies `isAwaited`. */
async function waitForAnswer(
  url: string,
  isAwaited: (answer: { status: number; text: string }) => boolean,
): Promise<void> {
  for (let attempt = 0; attempt < maxAttemptCount; attempt++) {
    const answer = await readText(url).catch(() => undefined);
    if (answer !== undefined && isAwaited(answer)) return;
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  throw new Error(`${url} did not give the awaited answer`);
}

/** Runs `body` with one daemon and one slow backend server while a request is in flight. */
async function withInFlightRequest(
  serviceTimeMs: number,
  body: (
    fleet: DemoFleet,
    answer: Promise<Awaited<ReturnType<typeof request>>>,
  ) => Promise<void>,
): Promise<void> {
  const fleet = new DemoFleet({
    daemonCount: 1,
    serverCountByService: { roster: 1 },
    daemonEnvironment: { SKYLARKRIDGE_DRAIN_NOTICE_MS: "1500" },
    serverEnvironment: { STANDIN_SERVICE_TIME_MS: String(serviceTimeMs) },
  });
  try {
    await fleet.start();
    const { entryAddress } = fleet.daemons[0]!;
    const answer = request(`http://${entryAddress}/roster/farm/list`, {
      headers: { ...customer, "skylark-deadline-ms": "20000" },
    });
    answer.catch(() => {});
    const logUrl = `http://${fleet.servers[0]!.address}/-/log`;
    await waitForAnswer(logUrl, ({ text }) => text !== "[]");
    await body(fleet, answer);
  } finally {
    await fleet.stop();
  }
}

describe("skylarkridged", () => {
  describe("with invalid settings", () => {
    it("exits with the usage code and prints a line for each of them", async () => {
      const group = new ProcessGroup();
      let stderr = "";
      const started = group.start("daemon", {
        program,
        environment: { SKYLARKRIDGE_PEER_SECRET: "short-secret" },
        onStderr: (text) => stderr += text,
      });
      assert.is(await waitForExit(started), DaemonExitCode.Usage);
      assert.is(stderr.trim().split("\n").length, 7, stderr);
      assert.not.match(stderr, /short-secret/);
    });
  });

  describe("started without the platform", () => {
    it("keeps running, reports why it is not ready, and becomes ready later", async () => {
      const group = new ProcessGroup();
      const [entryPort, peerPort, platformPort] = [
        await findFreePort(),
        await findFreePort(),
        await findFreePort(),
      ];
      const peerAddress = `127.0.0.1:${peerPort}`;
      const entryUrl = `http://127.0.0.1:${entryPort}`;
      const platformUrl = `http://127.0.0.1:${platformPort}`;
      const serverPort = await findFreePort();
      try {
        group.start("daemon", {
          program,
          environment: {
            SKYLARKRIDGE_DAEMON_ID: "daemon-1",
            SKYLARKRIDGE_DATA_CENTRE: "dc-a",
            SKYLARKRIDGE_ENTRY_ADDRESS: `127.0.0.1:${entryPort}`,
            SKYLARKRIDGE_PEER_ADDRESS: peerAddress,
            SKYLARKRIDGE_PLATFORM_ADDRESS: `127.0.0.1:${platformPort}`,
            SKYLARKRIDGE_PEER_SECRET: peerSecret,
            SKYLARKRIDGE_SERVICES:
              "[{name: roster, requestClass: live-read, fencingMode: checked}]",
          },
        });
        await waitForAnswer(`${entryUrl}/-/health`, (a) => a.status === 200);
        await waitForAnswer(
          `${entryUrl}/-/ready`,
          ({ status, text }) => status === 503 && text.includes("SR7001"),
        );
        group.start("platform", {
          program: "standins/platform.ts",
          environment: {
            STANDIN_PORT: String(platformPort),
            STANDIN_VM_LIST_LAG_MS: "0",
          },
        });
        group.start("server", {
          program: "standins/backend_server.ts",
          environment: {
            STANDIN_PORT: String(serverPort),
            STANDIN_CHECKS_FENCE: "1",
          },
        });
        await waitForAnswer(`${platformUrl}/vms`, (a) => a.status === 200);
        await request(`${platformUrl}/vms`, {
          method: "POST",
          body: JSON.stringify({
            vmId: "roster-0",
            role: "backend-server",
            state: "live",
            address: `127.0.0.1:${serverPort}`,
            dataCentre: "dc-a",
            service: "roster",
          }),
        });
        await applyExampleLists(peerAddress, { peerSecret });
        await waitForAnswer(`${entryUrl}/-/ready`, (a) => a.status === 200);
      } finally {
        await group.endAll();
      }
    });
  });

  describe("on a stop signal", () => {
    it("finishes the in-flight request and exits with success", () =>
      withInFlightRequest(600, async (fleet, answer) => {
        const { entryAddress, started } = fleet.daemons[0]!;
        started.child.kill("SIGTERM");
        await waitForAnswer(
          `http://${entryAddress}/-/ready`,
          ({ status, text }) => status === 503 && text.startsWith("draining"),
        );
        const { statusCode, headers, body } = await answer;
        assert.is(statusCode, 200);
        assert.is(headers["connection"], "close");
        assert.is(JSON.parse(await body.text()).key, "farm");
        assert.is(await waitForExit(started), DaemonExitCode.Success);
      }));

    it("exits immediately if a second signal follows", () =>
      withInFlightRequest(15_000, async (fleet) => {
        const { entryAddress, started } = fleet.daemons[0]!;
        started.child.kill("SIGTERM");
        await waitForAnswer(
          `http://${entryAddress}/-/ready`,
          ({ text }) => text.startsWith("draining"),
        );
        started.child.kill("SIGTERM");
        assert.is(await waitForExit(started), DaemonExitCode.Forced);
      }));
  });
});
