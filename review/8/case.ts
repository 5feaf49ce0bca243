/**
 * One backend server of eight fails part of its requests after it has run them:
 * it answers 503 without the header that says that the request was not run. The
 * daemon must not give that status to the caller of a request that may run once
 * at most, since the status promises that the request has not run.
 */
import { setTimeout as delay } from "node:timers/promises";
import { CallerConnection, ConnectionEnd } from "../lib-2/caller.ts";
import { type CaseContext, runCase } from "../lib-2/run_case.ts";
import { type Answerer, Upstream } from "../lib-2/upstream.ts";

const serviceName = "confirmaciones";
const serverCount = 8;
const workMs = 210;
/** The server with index 0 fails four of nine requests. */
const failurePeriod = 9;
const failedRemainders: ReadonlySet<number> = new Set([1, 3, 5, 7]);
/** Time in which callers send. */
const sendingMs = 6_000;
const callerCount = 20;
const timeoutMs = 4_000;
const answerBytes = 600;
/** Statuses that promise that the request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Machines are in touch once nothing has disturbed them for this long. */
const stableWindowMs = 3_000;

await runCase(async (context) => {
  const { deployment, record, upstreams } = context;
  deployment.configure(
    [{
      prefix: "/confirma/",
      kind: "unsafe",
      service: serviceName,
      timeoutMs,
      objectiveMs: 600,
      attempts: 2,
    }],
    [{ name: serviceName, isSharded: false }],
  );
  await startServers(context);
  const daemon = await deployment.startDaemon();
  await deployment.startDaemon();
  await delay(stableWindowMs);

  const endsAtMs = performance.now() + sendingMs;
  const counts = await Promise.all(
    Array.from({ length: callerCount }, (_, caller) => runCaller(caller)),
  );
  const brokenCount = counts.reduce((sum, count) => sum + count, 0);
  const runCount = upstreams.reduce((sum, { run }) => sum + run.length, 0);
  const bodies = upstreams.flatMap(({ run }) =>
    run.map(({ body }) => `${body}`)
  );
  const twiceCount = bodies.length - new Set(bodies).size;
  record.note(`${runCount} requests were run; ${twiceCount} shifts once more`);
  record.note(
    `${brokenCount} requests were run and answered with a status that ` +
      "promises that they were not",
  );
  return brokenCount > 0;

  /** Sends requests one after the other; resolves with the number of broken promises. */
  async function runCaller(caller: number): Promise<number> {
    let count = 0;
    const connection = await CallerConnection.open(daemon.callersPort);
    let sentCount = 0;
    let shiftCount = 0;
    let body: string | undefined;
    while (performance.now() < endsAtMs) {
      if (connection.end !== ConnectionEnd.Open) break;
      body ??= `shift ${caller}-${shiftCount++}`;
      const id = `c-${caller}-${sentCount}`;
      connection.send({
        id,
        method: "POST",
        path: "/confirma/",
        timeoutMs,
        body,
      });
      const status = await waitForStatus(connection, sentCount);
      sentCount += 1;
      const hasRun = upstreams
        .some(({ run }) => run.some((request) => request.id === id));
      if (status !== 200) {
        record.note(
          `${id}, ${body}: status ${status}, ${hasRun ? "run" : "not run"}`,
        );
      }
      // Callers send again what they were promised has not run.
      const isPromised = status !== undefined && promises.has(status);
      if (hasRun && isPromised) count += 1;
      if (!isPromised) body = undefined;
    }
    connection.close();
    return count;
  }
});

async function startServers(
  { deployment, record, upstreams, hasTrouble }: CaseContext,
): Promise<void> {
  for (let i = 0; i < serverCount; i++) {
    let answerCount = 0;
    const answer: Answerer = async ({ id }, { response, headers }) => {
      answerCount += 1;
      const fails = hasTrouble && i === 0 &&
        failedRemainders.has(answerCount % failurePeriod);
      await delay(workMs);
      if (fails) record.note(`server i-${i} has run ${id} and answers 503`);
      const status = fails ? 503 : 200;
      response.writeHead(status, { ...headers, "content-length": answerBytes });
      response.end(Buffer.alloc(answerBytes, "p"));
    };
    const upstream = new Upstream({ id: `i-${i}`, record, answer });
    upstreams.push(upstream);
    deployment.register({
      id: upstream.id,
      bornAtMs: Date.now(),
      service: serviceName,
      address: await upstream.listen(),
      slotCount: 3,
    });
  }
}

/** Waits for the answer with the given index; undefined if there is none in time. */
async function waitForStatus(
  connection: CallerConnection,
  index: number,
): Promise<number | undefined> {
  const endsAtMs = performance.now() + timeoutMs;
  while (performance.now() < endsAtMs) {
    const answer = connection.answers()[index];
    if (answer?.isComplete) return answer.status;
    if (connection.end !== ConnectionEnd.Open) return undefined;
    await delay(5);
  }
  return undefined;
}
