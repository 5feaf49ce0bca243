/**
 * Upstreams that hold keys crash one after the other, and each starts again
 * soon under its id and address. Looks at the fencing tokens with which the
 * second life gets keys that the first one had.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { Daemon } from "../lib-3/deployment.ts";
import { encodeRequest, RawClient, waitUntil } from "../lib-3/raw_client.ts";
import { type CaseContext, runCase, Verdict } from "../lib-3/run_case.ts";
import { type AcceptedGrant, Upstream } from "../lib-3/upstream.ts";

const service = "listas";
const upstreamCount = 24;
const daemonCount = 2;
/** An eighth of the upstreams at a time. */
const crashedAtOnce = 3;
const crashRounds = 8;
const downMs = 800;
const pauseMs = 4_000;
/** One call to the store. */
const registrationDelayMs = 4;
const workMs = 160;
const timeoutMs = 1_500;
const startDelayMs = 3_000;
const keyCount = 65_536;
const callerCount = 6;
const callerPauseMs = 50;

/** A grant that an upstream has accepted, with the life that did. */
interface Acceptance extends AcceptedGrant {
  readonly atMs: number;
}

await runCase("11", async (context) => {
  const { deployment, upstreams, hasTrouble, note } = context;
  const accepted: Acceptance[] = [];
  const violations: string[] = [];
  const describe = ({ id, bornAtMs }: Upstream) => `${id} born ${bornAtMs}`;
  const onGrant = (grant: AcceptedGrant) => {
    const { upstream, first, last, fence } = grant;
    const higher = accepted.find((earlier) =>
      earlier.upstream !== upstream && earlier.first <= last &&
      first <= earlier.last && earlier.fence >= fence
    );
    accepted.push({ ...grant, atMs: performance.now() });
    if (higher === undefined) return;
    const line = `${describe(upstream)} takes ${first}-${last} with fence ` +
      `${fence}; ${describe(higher.upstream)} had ${higher.first}-` +
      `${higher.last} with fence ${higher.fence}`;
    violations.push(line);
    note(`OWNER: ${line}`);
  };
  const runCounts = new Map<string, number>();
  const createUpstream = (id: string) =>
    new Upstream({
      id,
      service,
      onGrant,
      onRequest: async ({ id: requestId, upstream, message }, response) => {
        const fence = upstream.fenceOf(Number(message.headers["x-shard-key"]));
        const run = `${describe(upstream)} with fence ${fence}`;
        runCounts.set(run, (runCounts.get(run) ?? 0) + 1);
        await delay(workMs);
        response.writeHead(200, {
          "x-request-id": requestId,
          "x-response-signature": `signature-${requestId}`,
        }).end("list");
      },
    });
  await deployment.start({
    version: 1,
    services: [{ name: service, isSharded: true }],
    routes: [{
      prefix: "/turno/",
      kind: "safe",
      service,
      timeoutMs,
      objectiveMs: 500,
      attempts: 2,
    }],
  });
  for (let i = 1; i <= upstreamCount; i++) {
    const upstream = createUpstream(`i-${i}`);
    await upstream.listen();
    upstream.register(deployment.store);
    upstreams.push(upstream);
  }
  for (let i = 0; i < daemonCount; i++) await deployment.addDaemon();
  await deployment.waitUntilReady();
  await delay(startDelayMs);
  const load = startLoad(deployment.daemons);
  async function crash(index: number): Promise<void> {
    const former = upstreams[index]!;
    former.close();
    note(`${describe(former)} crashes`);
    await delay(downMs);
    const next = createUpstream(former.id);
    upstreams[index] = next;
    await next.listen(former.port);
    note(`${describe(next)} listens at the same address`);
    await delay(registrationDelayMs);
    next.register(deployment.store);
    note(`${describe(next)} has registered`);
  }
  for (let round = 0; round < crashRounds; round++) {
    await delay(pauseMs);
    if (!hasTrouble) continue;
    await Promise.all(
      Array.from(
        { length: crashedAtOnce },
        (_, i) => crash((round * crashedAtOnce + i) % upstreamCount),
      ),
    );
  }
  await delay(pauseMs);
  await load.stop();
  for (const [run, count] of runCounts) note(`${count} requests run by ${run}`);
  note(`${countSharedFences(runCounts)} fences under which two lives ran`);
  note(`${load.counts()}; ${accepted.length} grants and renewals accepted`);
  note(`${violations.length} of them by a life whose fence wasn't above`);
  if (accepted.length === 0) return Verdict.CouldNotRun;
  return violations.length > 0 ? Verdict.Broken : Verdict.Held;
});

/** Number of fences under which two lives of an upstream have run requests. */
function countSharedFences(runCounts: ReadonlyMap<string, number>): number {
  const byIdAndFence = new Map<string, number>();
  for (const run of runCounts.keys()) {
    const idAndFence = run.replace(/ born \d+/, "");
    byIdAndFence.set(idAndFence, (byIdAndFence.get(idAndFence) ?? 0) + 1);
  }
  return [...byIdAndFence.values()].filter((count) => count > 1).length;
}

/** Callers that ask for keys all over the key space, each with one request at a time. */
function startLoad(daemons: readonly Daemon[]): {
  readonly stop: () => Promise<void>;
  readonly counts: CaseContext["note"] extends (line: string) => void
    ? () => string
    : never;
} {
  let isStopping = false;
  let requestCount = 0;
  let successCount = 0;
  async function call(index: number): Promise<void> {
    for (let i = index; !isStopping; i++) {
      const { callersPort } = daemons[i % daemons.length]!;
      const id = `lookup-${index}-${i}`;
      const key = (i * 9_973 + index * 7_919) % keyCount;
      const client = await RawClient.connect(callersPort);
      requestCount += 1;
      const path = `/turno/${key}`;
      client.write(
        encodeRequest({ method: "GET", path, id, timeoutMs, key }),
      );
      await waitUntil(() => client.receivedBytes > 0, timeoutMs);
      if (client.received.includes("HTTP/1.1 200 ")) successCount += 1;
      client.close();
      await delay(callerPauseMs);
    }
  }
  const tasks = Array.from({ length: callerCount }, (_, i) => call(i));
  return {
    stop: async () => {
      isStopping = true;
      await Promise.all(tasks);
    },
    counts: () => `${successCount} of ${requestCount} requests answered 200`,
  };
}
