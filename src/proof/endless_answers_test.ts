import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createClient } from "@connectrpc/connect";
import * as assert from "uvu/assert";
import { DeliveryPeers } from "../gen/skylarkridge/v1/delivery_pb.ts";
import { RowClient } from "../../platform/row_client.ts";
import { endlessAnswers } from "../../standins/endless_answers.ts";
import { HttpPlatformClient } from "../host/http_platform.ts";
import { HttpBackendTransport } from "../services/backend/http_backend_transport.ts";
import { FleetCalls, FleetPath } from "../services/fleet/fleet_calls.ts";
import { HttpPeerTransport } from "../services/peers/http_peer_transport.ts";
import { describe, it } from "../testing/describe.ts";
import { BackendServerState, RequestClass } from "../types/enums.ts";
import type {
  AssignedServer,
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
} from "../types/types.ts";

const timeoutMs = 500;
/** A caller that reads slowly. */
const readPauseMs = 50;
/** A quarter of what a daemon may use for control. */
const maxGrowthBytes = 64 * 1_048_576;
const sampleIntervalMs = 50;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Makes one kind of call to `address`; resolves when it has ended. */
type Call = (address: string) => Promise<void>;

function createServerEntry(address: string): AssignedServer {
  return {
    serverId: "server-1",
    address,
    dataCentre: "a",
    state: BackendServerState.Live,
    homeDaemonId: "daemon-1",
    standbyDaemonId: "daemon-2",
    homeFence: 1,
  };
}

function createLocation(address: string): KeyLocation {
  return {
    service: "roster",
    shard: 0,
    server: createServerEntry(address),
    fence: 1,
    assignmentVersion: 1,
  };
}

function createRequest(): RoutedRequest {
  return {
    requestId: "a1",
    customer: "customer",
    service: "roster",
    key: "key",
    requestClass: RequestClass.LiveRead,
    isIdempotent: true,
    idempotencyKey: undefined,
    method: "GET",
    path: "/",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs: performance.now() + timeoutMs,
  };
}

/** Reads a body as a slow caller does; the end of the time ends it. */
async function readSlowly({ body }: RoutedResponse): Promise<void> {
  for await (const _ of body) await delay(readPauseMs);
}

function callBackend(
  call: (
    transport: HttpBackendTransport,
    server: AssignedServer,
    signal: AbortSignal,
  ) => Promise<unknown>,
): Call {
  return async (address) => {
    const transport = new HttpBackendTransport({
      connectTimeoutMs: timeoutMs,
      connectionsPerServer: 1,
    });
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      await call(transport, createServerEntry(address), signal);
    } finally {
      await transport.stop();
    }
  };
}

function createPeerTransport(): HttpPeerTransport {
  return new HttpPeerTransport({
    secret: "secret",
    connectionsPerPeer: 1,
    connectTimeoutMs: timeoutMs,
    callTimeoutMs: timeoutMs,
  });
}

const grant = { service: "roster", shards: [0], fence: 1, holdMs: 1_000 };

const calls: Readonly<Record<string, Call>> = {
  "a request to a backend server": callBackend(
    async (transport, { address }, signal) => {
      const location = createLocation(address);
      const options = { signal, startBeforeWallMs: 0 };
      const result = await transport.send(createRequest(), location, options);
      if (result.isOk()) await readSlowly(result.value);
    },
  ),
  "a health check": callBackend((transport, server, signal) =>
    transport.checkHealth(server, signal)
  ),
  "a grant": callBackend((transport, server, signal) =>
    transport.grant(server, grant as never, signal)
  ),
  "a request that is forwarded to another daemon": async (address) => {
    const transport = createPeerTransport();
    try {
      const result = await transport.forward(address, createRequest(), {
        location: createLocation(address),
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (result.isOk()) await readSlowly(result.value);
    } finally {
      await transport.stop();
    }
  },
  "a control call to another daemon": async (address) => {
    const transport = createPeerTransport();
    const client = createClient(DeliveryPeers, transport.connectTo(address));
    await client.fetchRecords({});
  },
  "a call to the platform of the product's own edition": async (address) => {
    const client = new HttpPlatformClient({ address, timeoutMs });
    await client.call({ method: "GET", path: "/vms", step: "list VMs" });
    await client.close();
  },
  "a read of the store": async (address) => {
    const client = new RowClient({ address, nowMs: () => performance.now() });
    await client.read("table", { timeoutMs });
    await client.stop();
  },
  "a sync with the key granter": async (address) => {
    const fleetCalls = new FleetCalls();
    const path = FleetPath.Sync;
    await fleetCalls
      .post({ address, path, body: "{}", timeoutMs, signals: [] });
    fleetCalls.close();
  },
};

/** What the process holds; its resident memory also has what earlier calls have freed. */
function usedBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Runs a call, whose failure is expected, and returns by how much the used memory grew meanwhile. */
async function measureGrowth(call: Call, address: string): Promise<number> {
  const beforeBytes = usedBytes();
  let maxBytes = beforeBytes;
  const sample = () => maxBytes = Math.max(maxBytes, usedBytes());
  const timer = setInterval(sample, sampleIntervalMs);
  await call(address).catch(() => {});
  clearInterval(timer);
  sample();
  return maxBytes - beforeBytes;
}

async function withEndlessServer(
  title: string,
  run: (address: string) => Promise<void>,
): Promise<void> {
  const program = "standins/endless_server.ts";
  const child: ChildProcess = spawn(
    process.execPath,
    ["--import", "tsx", program, title],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  try {
    const [port] = await once(child.stdout!, "data");
    await run(`127.0.0.1:${String(port).trim()}`);
  } finally {
    child.kill("SIGKILL");
    await once(child, "exit");
  }
}

describe("bytes without end", () => {
  for (const { title } of endlessAnswers) {
    describe(`in ${title}`, () => {
      for (const [name, call] of Object.entries(calls)) {
        it(`do not pile up in the memory of ${name}`, async () => {
          await withEndlessServer(title, async (address) => {
            const growthBytes = await measureGrowth(call, address);
            assert.ok(growthBytes < maxGrowthBytes, `${growthBytes} bytes`);
          });
        });
      }
    });
  }
});
