/**
 * A daemon is killed while it passes on a download whose end is marked only by
 * the end of the upstream's connection.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { Daemon } from "../lib-3/deployment.ts";
import {
  ConnectionEnd,
  encodeRequest,
  RawClient,
  splitAnswer,
  waitUntil,
} from "../lib-3/raw_client.ts";
import { type CaseContext, runCase, Verdict } from "../lib-3/run_case.ts";
import { Upstream } from "../lib-3/upstream.ts";

const service = "archivos";
const pieceBytes = 100_000;
const pieceCount = 30;
const bodyBytes = pieceBytes * pieceCount;
/** The whole answer takes 1.5 seconds. */
const pieceIntervalMs = 50;
const timeoutMs = 4_000;
const clientCount = 4;
const startDelayMs = 1_000;

await runCase("11", async (context) => {
  const { deployment, upstreams, hasTrouble, note } = context;
  await deployment.start({
    version: 1,
    services: [{ name: service, isSharded: false }],
    routes: [{
      prefix: "/paquete/",
      kind: "download",
      service,
      timeoutMs,
      objectiveMs: 1_400,
      attempts: 2,
    }],
  });
  for (let i = 1; i <= clientCount; i++) {
    const upstream = new Upstream({
      id: `i-${i}`,
      service,
      onRequest: async ({ id }, response) => {
        note(`${id} runs at i-${i}`);
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, {
          "x-request-id": id,
          "x-response-signature": `signature-${id}`,
          "connection": "close",
        });
        for (let piece = 0; piece < pieceCount; piece++) {
          if (response.destroyed) return note(`${id}: its connection ended`);
          response.write(Buffer.alloc(pieceBytes, "a"));
          await delay(pieceIntervalMs);
        }
        response.end();
        note(`${id}: the whole answer was sent, ${bodyBytes} bytes`);
      },
    });
    await upstream.listen();
    upstream.register(deployment.store);
    upstreams.push(upstream);
  }
  const daemon = await deployment.addDaemon();
  await deployment.waitUntilReady();
  await delay(startDelayMs);
  return await download(daemon, { hasTrouble, note });
});

async function download(
  daemon: Daemon,
  { hasTrouble, note }: Pick<CaseContext, "hasTrouble" | "note">,
): Promise<Verdict> {
  const clients = await Promise.all(
    Array.from({ length: clientCount }, async (_, i) => {
      const id = `download-${i}`;
      const client = await RawClient.connect(daemon.callersPort);
      const path = `/paquete/${i}`;
      client.write(encodeRequest({ method: "GET", path, id, timeoutMs }));
      note(`${id} sent`);
      return { id, client };
    }),
  );
  const haveBegun = await waitUntil(
    () => clients.every(({ client }) => client.receivedBytes > 0),
    timeoutMs,
  );
  if (!haveBegun) {
    note("not every answer has begun");
    return Verdict.CouldNotRun;
  }
  if (hasTrouble) {
    daemon.process.kill("SIGKILL");
    note("SIGKILL to the daemon");
  }
  let verdict = Verdict.Held;
  for (const { id, client } of clients) {
    await client.waitForEnd(timeoutMs);
    const answer = splitAnswer(client.received);
    const receivedBytes = answer?.body.length ?? 0;
    const head = answer?.head.replaceAll("\r\n", " | ");
    note(`${id}: ${receivedBytes} bytes, connection ${client.end}; ${head}`);
    client.close();
    const isSuccess = answer?.status === 200;
    // Without a length and without chunks, the end of the connection is the
    // end of the body.
    const isFramed = /^(content-length|transfer-encoding):/im
      .test(answer?.head ?? "");
    const looksWhole = !isFramed && client.end === ConnectionEnd.Closed;
    if (isSuccess && looksWhole && receivedBytes !== bodyBytes) {
      note(`${id}: MIXED, a part of the body looks like a whole answer`);
      verdict = Verdict.Broken;
    }
    const isLate = !hasTrouble && receivedBytes < bodyBytes;
    if (isLate) verdict = Verdict.CouldNotRun;
  }
  return verdict;
}
