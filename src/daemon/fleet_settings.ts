/**
 * Reads the settings of a daemon that runs on the platform from a JSON file,
 * which the platform creates from a template. Unknown fields are ignored.
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import { RouterError } from "../types/errors.ts";

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** The settings of a daemon that runs on the platform. */
export interface FleetSettings {
  readonly daemonId: string;
  readonly zone: string;
  /** Listen address for callers. */
  readonly callersAddress: SocketAddress;
  /** Listen address for the platform's readiness checks. */
  readonly readinessAddress: SocketAddress;
  /** `host:port` of the row store. */
  readonly storeAddress: string;
  /** Listen address for peers. */
  readonly peerAddress: SocketAddress;
  /** `host:port` under which peers reach the daemon; defaults to the listen address. */
  readonly advertisedPeerAddress: string;
  /** Listen address for collectors of metrics; undefined if metrics are not served. */
  readonly metricsAddress: SocketAddress | undefined;
  /** Processor time that the daemon may use, in full-speed cores; may be a fraction. */
  readonly coreCount: number;
  /** Whether the whole fleet starts for the first time; defaults to true. */
  readonly isFirstStart: boolean;
  /** Time that the platform grants between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** Retries for each request, in the whole fleet. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Additional retries in the whole fleet in each window. */
  readonly retryExtraCount: number;
}

const msPerSecond = 1_000;
/** The daemon uses the first port of the range that the platform reserves for daemons. */
const peerPortIndex = 0;

/** Reads and checks the file; the error names the invalid field and what it accepts. */
export function readFleetSettings(
  path: string,
): Result<FleetSettings, RouterError> {
  try {
    return ok(decodeSettings(JSON.parse(readFileSync(path, "utf8"))));
  } catch (error) {
    return err(
      new RouterError(MessageCode.SettingInvalid, "read settings", {
        peer: path,
        detail: (error as Error).message,
      }),
    );
  }
}

function decodeSettings(
  file: Readonly<Record<string, unknown>>,
): FleetSettings {
  const ports = file.peerPorts;
  if (!Array.isArray(ports) || !ports.every(Number.isInteger)) {
    throw new TypeError(
      "peerPorts must be an array of two port numbers, [first, last]",
    );
  }
  const peerAddress = {
    host: readString(file, "host"),
    port: ports[peerPortIndex],
  };
  return {
    daemonId: readString(file, "daemonId"),
    zone: readString(file, "zone"),
    callersAddress: readAddress(file, "callersAddress"),
    readinessAddress: readAddress(file, "readinessAddress"),
    storeAddress: readString(file, "storeAddress"),
    peerAddress,
    advertisedPeerAddress: file.advertisedPeerAddress === undefined
      ? `${peerAddress.host}:${peerAddress.port}`
      : readString(file, "advertisedPeerAddress"),
    metricsAddress: file.metricsAddress === undefined
      ? undefined
      : readAddress(file, "metricsAddress"),
    coreCount: readNumber(file, "processorShare") *
      readNumber(file, "processorCount"),
    isFirstStart: file.isFirstStart !== false,
    graceMs: readNumber(file, "graceSeconds") * msPerSecond,
    retryRatio: readNumber(file, "retryRatio"),
    retryWindowMs: readNumber(file, "retryWindowSeconds") * msPerSecond,
    retryExtraCount: readNumber(file, "retryExtraCount"),
  };
}

function readString(
  file: Readonly<Record<string, unknown>>,
  field: string,
): string {
  const value = file[field];
  if (typeof value === "string" && value !== "") return value;
  throw new TypeError(`${field} must be a non-empty string`);
}

function readNumber(
  file: Readonly<Record<string, unknown>>,
  field: string,
): number {
  const value = file[field];
  if (typeof value === "number" && value >= 0) return value;
  throw new TypeError(`${field} must be a number that is not negative`);
}

function readAddress(
  file: Readonly<Record<string, unknown>>,
  field: string,
): SocketAddress {
  const match = /^([0-9.]+):(\d{1,5})$/.exec(readString(file, field));
  if (match === null) {
    throw new TypeError(
      `${field} must be an IPv4 address with a port, such as 10.0.0.1:8080`,
    );
  }
  return { host: match[1]!, port: Number(match[2]) };
}
