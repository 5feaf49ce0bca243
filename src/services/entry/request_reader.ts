/**
 * Reads a caller's HTTP request, `/{service}/{key}/{rest}` with the customer in
 * a header. Rejects a malformed request before its customer is charged or a
 * backend server is called, and a malformed head before the body is read.
 */
import type { IncomingMessage } from "node:http";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceDefinition } from "../../types/types.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";
import { flattenHeaders } from "../backend/http_headers.ts";
import { parseTarget } from "./request_target.ts";

const customerHeader = "skylark-customer";
const deadlineHeader = "skylark-deadline-ms";
const idempotencyHeader = "idempotency-key";
const reservedHeaderPrefix = "skylark-";
const customerPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const idempotencyPattern = /^[\x21-\x7e]{1,128}$/;
const integerPattern = /^\d{1,12}$/;

/** Headers that must not be repeated, since their values could differ. */
const singleHeaders = [
  "host",
  "content-length",
  "transfer-encoding",
  customerHeader,
  deadlineHeader,
  idempotencyHeader,
];

/** The supported methods; true when a repetition has no further effect. */
const isIdempotentByMethod: Readonly<Record<string, boolean>> = {
  GET: true,
  HEAD: true,
  OPTIONS: true,
  PUT: true,
  DELETE: true,
  POST: false,
  PATCH: false,
};

/** Bounds on the body and the deadline of a request. */
export interface RequestBounds {
  readonly maxBodyBytes: number;
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
}

/** Input of the reader apart from the message. */
export interface ReaderContext {
  readonly requestId: string;
  readonly nowMs: number;
  readonly bounds: RequestBounds;
  readonly tryGetDefinition: (name: string) => ServiceDefinition | undefined;
}

/** A request without its body. */
export type RequestHead = Omit<RoutedRequest, "body">;

/** Checks and reads the head; throws `RouterError` when it is malformed. */
export function readHead(
  message: IncomingMessage,
  context: ReaderContext,
): RequestHead {
  checkFraming(message, context.bounds);
  const { service, key, path } = parseTarget(message.url ?? "");
  const definition = context.tryGetDefinition(service);
  if (definition === undefined) {
    throw new RouterError(MessageCode.ServiceUnknown, "parse target", {
      detail: service,
    });
  }
  const method = message.method ?? "";
  const deadlineMs = readDeadline(message, context.bounds);
  return {
    requestId: context.requestId,
    customer: readCustomer(message),
    service,
    key,
    requestClass: definition.requestClass,
    isIdempotent: isIdempotentMethod(method),
    idempotencyKey: readIdempotencyKey(message),
    method,
    path,
    headers: selectHeaders(message),
    deadlineAtMs: context.nowMs + deadlineMs,
  };
}

/** Reads the body; throws `RouterError` when it is truncated or too large. */
export async function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let totalBytes = 0;
  try {
    // The connection must stay open to refuse a body that is too large.
    for await (const chunk of message.iterator({ destroyOnReturn: false })) {
      totalBytes += chunk.length;
      if (totalBytes > maxBytes) throw createTooLargeError(maxBytes);
      chunks.push(chunk);
    }
  } catch (error) {
    if (error instanceof RouterError) throw error;
    throw new RouterError(MessageCode.BodyTruncated, "read body", {
      cause: error,
    });
  }
  return Buffer.concat(chunks);
}

/** Rejects heads that two HTTP parsers could interpret differently. */
function checkFraming(message: IncomingMessage, bounds: RequestBounds): void {
  for (const name of singleHeaders) {
    if ((message.headersDistinct[name]?.length ?? 0) <= 1) continue;
    throw createMalformedError("check head", `header ${name} is repeated`);
  }
  const { host } = message.headers;
  if (host === undefined && message.httpVersion !== "1.0") {
    throw createMalformedError("check head", "header host is missing");
  }
  const length = message.headers["content-length"];
  if (length === undefined) return;
  if (message.headers["transfer-encoding"] !== undefined) {
    throw createMalformedError(
      "check head",
      "content-length and transfer-encoding exclude each other",
    );
  }
  if (Number(length) > bounds.maxBodyBytes) {
    throw createTooLargeError(bounds.maxBodyBytes);
  }
}

function readCustomer(message: IncomingMessage): string {
  const customer = tryReadHeader(message, customerHeader);
  if (customer !== undefined && customerPattern.test(customer)) return customer;
  const detail = customer === undefined
    ? `header ${customerHeader} is missing`
    : `header ${customerHeader} must be 1 to 64 letters, digits, . _ or -`;
  throw createMalformedError("read customer", detail);
}

function readDeadline(
  message: IncomingMessage,
  bounds: RequestBounds,
): number {
  const text = tryReadHeader(message, deadlineHeader);
  if (text === undefined) return bounds.defaultDeadlineMs;
  const deadlineMs = integerPattern.test(text) ? Number(text) : 0;
  if (deadlineMs >= 1 && deadlineMs <= bounds.maxDeadlineMs) return deadlineMs;
  throw createMalformedError(
    "read deadline",
    `header ${deadlineHeader} must be an integer from 1 to ` +
      `${bounds.maxDeadlineMs} ms`,
  );
}

/** Whether the method is idempotent; throws `RouterError` if unsupported. */
function isIdempotentMethod(method: string): boolean {
  const isIdempotent = isIdempotentByMethod[method];
  if (isIdempotent !== undefined) return isIdempotent;
  throw new RouterError(MessageCode.MethodUnsupported, "read method", {
    detail: method,
  });
}

function readIdempotencyKey(message: IncomingMessage): string | undefined {
  const key = tryReadHeader(message, idempotencyHeader);
  if (key === undefined || idempotencyPattern.test(key)) return key;
  throw createMalformedError(
    "read idempotency key",
    `header ${idempotencyHeader} must be 1 to 128 visible ASCII characters`,
  );
}

function tryReadHeader(
  message: IncomingMessage,
  name: string,
): string | undefined {
  return message.headersDistinct[name]?.[0];
}

/**
 * Removes the router's own headers, so that a caller cannot forge them, and the
 * headers that `connection` declares as specific to this connection.
 */
function selectHeaders(message: IncomingMessage): Record<string, string> {
  const connectionHeaders = (message.headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const entries = Object.entries(flattenHeaders(message.headers))
    .filter(([name]) => !name.startsWith(reservedHeaderPrefix))
    .filter(([name]) => !connectionHeaders.includes(name))
    .filter(([name]) => name !== "content-length");
  return Object.fromEntries(entries);
}

function createMalformedError(step: string, detail: string): RouterError {
  return new RouterError(MessageCode.RequestMalformed, step, { detail });
}

function createTooLargeError(maxBytes: number): RouterError {
  return new RouterError(MessageCode.BodyTooLarge, "read body", {
    detail: `${maxBytes} bytes`,
  });
}
