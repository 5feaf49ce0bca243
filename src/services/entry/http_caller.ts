/**
 * Serves one caller's request in one task: reads the head and the body, runs
 * the request through the pipeline, and writes the answer.
 */
import type { ServerResponse } from "node:http";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError, toRouterError } from "../../types/errors.ts";
import type { RoutedRequest, RoutedResponse } from "../../types/types.ts";
import type { HttpExchange } from "../peers/forward_handler.ts";
import type { CallerConnections } from "./caller_connections.ts";
import { requestIdHeader, sendRefusal } from "./refusal.ts";
import { readBody, readHead, type RequestBounds } from "./request_reader.ts";
import { waitUntilClosed, writeBody } from "./write_body.ts";

const internalHeaderPrefix = "skylark-";
/** Internal headers that callers may see. */
const publicInternalHeaders: ReadonlySet<string> = new Set([
  "skylark-server",
  "skylark-repeat",
]);

/** Input of a request task apart from the exchange. */
export interface CallerContext {
  readonly services: ServiceLookup;
  readonly bounds: RequestBounds;
  readonly connections: CallerConnections;
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
  /** Whether the answer, which is about to be written, closes the connection. */
  readonly closesConnection: () => boolean;
}

/** Serves one request; never rejects. */
export async function serveCaller(
  exchange: HttpExchange,
  context: CallerContext,
): Promise<void> {
  const requestId = context.services.get(ServiceName.Random).nextId();
  const routed = await tryReadRequest(exchange, { ...context, requestId });
  if (routed === undefined) return;
  const { response } = exchange;
  const cancellation = createCancellation(response);
  const result = await context.services.get(ServiceName.RequestPipeline)
    .run(routed, cancellation.signal);
  if (result.isErr()) {
    const closesConnection = context.closesConnection();
    sendRefusal(response, result.error, { requestId, closesConnection });
    return;
  }
  await writeAnswer(response, result.value, {
    requestId,
    context,
    cancellation,
    deadlineAtMs: routed.deadlineAtMs,
  });
}

/** Reads a request; refuses a malformed request and returns undefined. */
async function tryReadRequest(
  exchange: HttpExchange,
  context: CallerContext & { readonly requestId: string },
): Promise<RoutedRequest | undefined> {
  const { request, response } = exchange;
  const { services, bounds, requestId } = context;
  try {
    const head = readHead(request, {
      requestId,
      nowMs: services.get(ServiceName.Clock).nowMs(),
      bounds,
      tryGetDefinition: (name) =>
        services.get(ServiceName.Ownership).tryGetDefinition(name),
    });
    if (context.expectsContinue) response.writeContinue();
    return { ...head, body: await readBody(request, bounds.maxBodyBytes) };
  } catch (error) {
    const failure = toRouterError(error, MessageCode.Internal, {
      step: "read request",
    });
    if (context.connections.isRefused(exchange)) return undefined;
    services.get(ServiceName.RequestPipeline).reject({ requestId }, failure);
    const closesConnection = !request.complete || context.closesConnection();
    sendRefusal(response, failure, { requestId, closesConnection });
    return undefined;
  }
}

async function writeAnswer(
  response: ServerResponse,
  answer: RoutedResponse,
  { requestId, context, cancellation, deadlineAtMs }: {
    readonly requestId: string;
    readonly context: CallerContext;
    readonly cancellation: AbortController;
    readonly deadlineAtMs: number;
  },
): Promise<void> {
  const clock = context.services.get(ServiceName.Clock);
  // A caller that reads slowly must not hold a slot of the backend server.
  const cancelDeadline = clock.after(
    deadlineAtMs - clock.nowMs(),
    () => response.destroy(),
  );
  try {
    if (context.closesConnection()) {
      response.setHeader("connection", "close");
    }
    response.writeHead(answer.status, {
      ...selectAnswerHeaders(answer.headers),
      [requestIdHeader]: requestId,
    });
    await writeBody(response, answer.body);
    await waitUntilClosed(response);
  } catch (error) {
    const failure = new RouterError(
      MessageCode.AnswerTruncated,
      "write answer",
      {
        outcome: AttemptOutcome.Answered,
        cause: error,
      },
    );
    cancellation.abort(failure);
    sendRefusal(response, failure, { requestId, closesConnection: true });
  } finally {
    cancelDeadline();
  }
}

/** Removes the headers that only parts of the system exchange. */
function selectAnswerHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const entries = Object.entries(headers).filter(([name]) =>
    !name.startsWith(internalHeaderPrefix) || publicInternalHeaders.has(name)
  );
  return Object.fromEntries(entries);
}

/** Aborts when the connection closes before the answer is complete. */
function createCancellation(response: ServerResponse): AbortController {
  const controller = new AbortController();
  response.once("close", () => {
    if (response.writableFinished) return;
    controller.abort(
      new RouterError(MessageCode.RequestCancelled, "await answer"),
    );
  });
  return controller;
}
