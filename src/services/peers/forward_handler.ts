/**
 * Receives a forwarded request on the peer listener, passes it to the home
 * service, and streams the answer or the failure back.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { AttemptOutcome } from "../../types/enums.ts";
import { RouterError, toRouterError } from "../../types/errors.ts";
import { encodeFailure } from "../../types/failure_codec.ts";
import type { RoutedRequest } from "../../types/types.ts";
import { readBody } from "../entry/request_reader.ts";
import { writeBody } from "../entry/write_body.ts";
import {
  decodeForward,
  failureHeader,
  forwardHeader,
} from "./forward_codec.ts";

/** Status of an answer that carries a failure of this daemon instead of a backend server's answer. */
const statusForwardFailed = 599;

/** An HTTP request and the response to it. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Handles one forwarded request from its first byte to the last byte of the answer. */
export async function handleForward(
  services: ServiceLookup,
  { request, response }: HttpExchange,
  options: { readonly maxBodyBytes: number },
): Promise<void> {
  const cancellation = new AbortController();
  response.once("close", () => cancellation.abort());
  let outcome = AttemptOutcome.NotSent;
  try {
    const routed = await readForwardedRequest(
      services,
      request,
      options,
    );
    // From here on, an unexpected error leaves open whether a backend server
    // ran the request.
    outcome = AttemptOutcome.Unknown;
    const result = await services.get(ServiceName.Home)
      .dispatch(routed, { signal: cancellation.signal });
    if (result.isErr()) return sendFailure(response, result.error);
    // Only this daemon says how a request ended that has no answer.
    const { [failureHeader]: _failure, ...headers } = result.value.headers;
    response.writeHead(result.value.status, headers);
    await writeBody(response, result.value.body);
  } catch (error) {
    const failure = toRouterError(error, MessageCode.Internal, {
      step: "handle forwarded request",
      outcome,
    });
    // The rest of a body that was not read to its end is not discarded, since it may not end.
    if (!request.complete) {
      response.once("finish", () => request.destroy());
    }
    sendFailure(response, failure);
  }
}

async function readForwardedRequest(
  services: ServiceLookup,
  request: IncomingMessage,
  { maxBodyBytes }: { readonly maxBodyBytes: number },
): Promise<RoutedRequest> {
  const header = request.headers[forwardHeader];
  if (typeof header !== "string") {
    throw new RouterError(MessageCode.RequestMalformed, "decode forward", {
      detail: `header ${forwardHeader} is missing`,
    });
  }
  const body = await readBody(request, maxBodyBytes);
  const nowMs = services.get(ServiceName.Clock).nowMs();
  return decodeForward(header, { body, nowMs });
}

function sendFailure(response: ServerResponse, failure: RouterError): void {
  if (response.headersSent) return void response.destroy();
  const encoded = Buffer.from(encodeFailure(failure)).toString("base64url");
  response.writeHead(statusForwardFailed, { [failureHeader]: encoded });
  response.end();
}
