/**
 * Parses a caller's HTTP request: `/{service}/{key}/{rest}` with the customer
 * in a header. Rejects what is malformed before anything is charged or sent.
 */
import type { IncomingMessage } from "node:http";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";
import { flattenHeaders } from "../backend/http_headers.ts";

const customerHeader = "skylark-customer";
const deadlineHeader = "skylark-deadline-ms";
const idempotencyHeader = "idempotency-key";
const reservedHeaderPrefix = "skylark-";
const maxKeyLength = 256;
const idempotentMethods: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

/** Bounds on what a caller may send. */
export interface RequestBounds {
  readonly maxBodyBytes: number;
  readonly defaultDeadlineMs: number;
}

/** Reads one request to its last byte; throws `RouterError` when malformed. */
export async function readRequest(
  services: ServiceLookup,
  message: IncomingMessage,
  bounds: RequestBounds,
): Promise<RoutedRequest> {
  const nowMs = services.get(ServiceName.Clock).nowMs();
  const { service, key, rest } = parseTarget(message.url ?? "");
  const definition = services.get(ServiceName.Ownership)
    .tryGetDefinition(service);
  if (definition === undefined) {
    throw new RouterError(MessageCode.ServiceUnknown, "parse target", {
      detail: service,
    });
  }
  const method = message.method ?? "GET";
  const deadlineMs = parseDeadline(message) ?? bounds.defaultDeadlineMs;
  return {
    requestId: services.get(ServiceName.Random).nextId(),
    customer: parseCustomer(message),
    service,
    key,
    requestClass: definition.requestClass,
    isIdempotent: idempotentMethods.has(method),
    idempotencyKey: singleHeader(message, idempotencyHeader),
    method,
    path: rest,
    headers: removeReserved(flattenHeaders(message.headers)),
    body: await readBody(message, bounds.maxBodyBytes),
    deadlineAtMs: nowMs + deadlineMs,
  };
}

/** Splits `/{service}/{key}/{rest}`; the key may be percent-encoded. */
function parseTarget(
  url: string,
): { readonly service: string; readonly key: string; readonly rest: string } {
  const match = /^\/([^/?]+)\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(url);
  if (match === null) {
    throw new RouterError(MessageCode.RequestMalformed, "parse target", {
      detail: "the path must be /{service}/{key}/...",
    });
  }
  const [, service = "", encodedKey = "", path = "/", query = ""] = match;
  return { service, key: decodeKey(encodedKey), rest: path + query };
}

function decodeKey(encodedKey: string): string {
  try {
    const key = decodeURIComponent(encodedKey);
    if (key.length <= maxKeyLength) return key;
  } catch {
    throw new RouterError(MessageCode.KeyInvalid, "parse key", {
      detail: "bad percent-encoding",
    });
  }
  throw new RouterError(MessageCode.KeyInvalid, "parse key", {
    detail: `longer than ${maxKeyLength} characters`,
  });
}

function parseCustomer(message: IncomingMessage): string {
  const customer = singleHeader(message, customerHeader);
  if (customer !== undefined && customer !== "") return customer;
  throw new RouterError(MessageCode.RequestMalformed, "parse customer", {
    detail: `header ${customerHeader} is missing`,
  });
}

function parseDeadline(message: IncomingMessage): number | undefined {
  const text = singleHeader(message, deadlineHeader);
  if (text === undefined) return undefined;
  const deadlineMs = Number(text);
  if (Number.isFinite(deadlineMs) && deadlineMs > 0) return deadlineMs;
  throw new RouterError(MessageCode.RequestMalformed, "parse deadline", {
    detail: `header ${deadlineHeader} must be a positive number of ms`,
  });
}

function singleHeader(
  message: IncomingMessage,
  name: string,
): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Drops the router's own headers, so that a caller cannot forge them. */
function removeReserved(
  headers: Record<string, string>,
): Record<string, string> {
  const entries = Object.entries(headers)
    .filter(([name]) => !name.startsWith(reservedHeaderPrefix))
    .filter(([name]) => name !== "content-length");
  return Object.fromEntries(entries);
}

async function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let totalBytes = 0;
  try {
    for await (const chunk of message as AsyncIterable<Uint8Array>) {
      totalBytes += chunk.length;
      if (totalBytes > maxBytes) throw createTooLarge(maxBytes);
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

function createTooLarge(maxBytes: number): RouterError {
  return new RouterError(MessageCode.BodyTooLarge, "read body", {
    detail: `${maxBytes} bytes`,
  });
}
