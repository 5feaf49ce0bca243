/** Parses the target of a request: `/{service}/{key}/{rest}`. */
import { MessageCode } from "../../diagnostics/messages.ts";
import { RouterError } from "../../types/errors.ts";

const maxKeyBytes = 256;
const maxServiceLength = 64;
const targetPattern = /^\/([^/?#]+)\/([^/?#]+)(\/[^?#]*)?(\?[^#]*)?$/;
// deno-lint-ignore no-control-regex
const controlPattern = /[\x00-\x1f\x7f]/;

/** The parsed target of a request. */
export interface RequestTarget {
  readonly service: string;
  readonly key: string;
  /** Path and query as the backend server receives them. */
  readonly path: string;
}

/** Parses a target with a percent-encoded key; throws `RouterError`. */
export function parseTarget(url: string): RequestTarget {
  const match = targetPattern.exec(url);
  if (match === null) {
    throw new RouterError(MessageCode.RequestMalformed, "parse target", {
      detail: "the path must be /{service}/{key}/...",
    });
  }
  const [, service = "", encodedKey = "", path = "/", query = ""] = match;
  if (service.length > maxServiceLength) {
    throw new RouterError(MessageCode.RequestMalformed, "parse target", {
      detail: `the service is longer than ${maxServiceLength} characters`,
    });
  }
  return { service, key: decodeKey(encodedKey), path: path + query };
}

function decodeKey(encodedKey: string): string {
  const key = tryDecode(encodedKey);
  if (key === undefined) throw createInvalidKeyError("bad percent-encoding");
  if (Buffer.byteLength(key) > maxKeyBytes) {
    throw createInvalidKeyError(`longer than ${maxKeyBytes} bytes`);
  }
  if (controlPattern.test(key)) {
    throw createInvalidKeyError("control character");
  }
  return key;
}

function tryDecode(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

function createInvalidKeyError(detail: string): RouterError {
  return new RouterError(MessageCode.KeyInvalid, "parse key", { detail });
}
