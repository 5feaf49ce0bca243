/**
 * The demo: starts a small fleet on this machine, sends requests of both
 * customers, kills a backend server, and waits until the server's keys are
 * served again. Exits 0 if every step succeeds.
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { DemoFleet } from "./demo_fleet.ts";

const keyCount = 20;
const recoveryTimeoutMs = 10_000;
const retryIntervalMs = 50;

/** The customer of the example lists that calls each service. */
const customerByService: Readonly<Record<string, string>> = {
  confirmation: "cuadrillas-members",
  roster: "cuadrillas-members",
  "flood-map": "puddlewatch-residents",
};

const fleet = new DemoFleet({
  daemonCount: 3,
  serverCountByService: { confirmation: 2, roster: 3, "flood-map": 3 },
});

interface DemoAnswer {
  readonly status: number;
  readonly server: string | undefined;
}

/** Sends a request for the key of the index through the daemon that the index selects. */
async function sendRequest(
  service: string,
  options: { readonly index: number; readonly method: "GET" | "POST" },
): Promise<DemoAnswer> {
  const daemon = fleet.daemons[options.index % fleet.daemons.length]!;
  const answer = await request(
    `http://${daemon.entryAddress}/${service}/key-${options.index}/item`,
    {
      method: options.method,
      headers: {
        "skylark-customer": customerByService[service] ?? "",
        "skylark-deadline-ms": "1000",
      },
    },
  );
  await answer.body.dump();
  const server = answer.headers["skylark-server"];
  return {
    status: answer.statusCode,
    server: typeof server === "string" ? server : undefined,
  };
}

/** Waits until the fleet serves every key of the service; returns the elapsed milliseconds. */
async function waitUntilServed(service: string): Promise<number> {
  const startedAtMs = performance.now();
  for (let index = 0; index < keyCount; index++) {
    for (;;) {
      const answer = await sendRequest(service, { index, method: "GET" });
      if (answer.status === 200) break;
      if (performance.now() - startedAtMs > recoveryTimeoutMs) {
        throw new Error(`${service} key-${index} is not served`);
      }
      await delay(retryIntervalMs);
    }
  }
  return performance.now() - startedAtMs;
}

async function checkAllServices(): Promise<void> {
  for (const service of ["confirmation", "roster", "flood-map"]) {
    const elapsedMs = await waitUntilServed(service);
    console.log(`${service}: ${keyCount} keys served, ${elapsedMs | 0} ms`);
  }
  const confirmation = await sendRequest("confirmation", {
    index: 1,
    method: "POST",
  });
  console.log(`confirmation POST: status ${confirmation.status}`);
}

async function checkServerLoss(): Promise<void> {
  const lost = fleet.servers.find((server) => server.service === "flood-map")!;
  await fleet.group.end(lost.started, "SIGKILL");
  const elapsedMs = await waitUntilServed("flood-map");
  console.log(`${lost.serverId} killed: keys served after ${elapsedMs | 0} ms`);
}

try {
  await fleet.start();
  await checkAllServices();
  await checkServerLoss();
  console.log("demo finished");
} catch (error) {
  console.error(`demo failed: ${error}`);
  process.exitCode = 1;
} finally {
  await fleet.stop();
}
