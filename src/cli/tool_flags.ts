/** The flags of the tool: parsed by meow, validated by zod. */
import { z } from "zod";
import { flagName } from "../command_line/command_line.ts";
import type { ToolFlags } from "./command.ts";
import { ToolExitCode } from "./exit_code.ts";
import { ToolError } from "./tool_error.ts";

const maxWaitTimeoutMs = 3_600_000;
const defaultWaitTimeoutMs = 30_000;
const secretVariable = "SKYLARKRIDGE_PEER_SECRET";
const peerVariable = "SKYLARKRIDGE_PEER";

/** The declarations of the flags for meow. */
export const toolFlagDeclarations = {
  peer: { type: "string" },
  json: { type: "boolean" },
  wait: { type: "boolean" },
  waitTimeoutMs: { type: "string" },
  author: { type: "string" },
  baseVersion: { type: "string" },
  out: { type: "string" },
} as const;

/** The flags as meow parsed them. */
export type RawToolFlags = {
  readonly [N in keyof typeof toolFlagDeclarations]?:
    | (typeof toolFlagDeclarations[N]["type"] extends "string" ? string
      : boolean)
    | undefined;
};

const flagsSchema = z.object({
  json: z.boolean().default(false),
  wait: z.boolean().default(false),
  waitTimeoutMs: z.string().regex(/^\d+$/).transform(Number)
    .refine((ms) => ms >= 1 && ms <= maxWaitTimeoutMs).default(
      defaultWaitTimeoutMs,
    ),
  author: z.string().min(1).max(64).optional(),
  baseVersion: z.string().regex(/^\d{1,15}$/).transform(Number).optional(),
  out: z.string().min(1).optional(),
});

const allowedTextByFlag: Readonly<Record<string, string>> = {
  waitTimeoutMs: `an integer from 1 to ${maxWaitTimeoutMs} ms`,
  author: "1 to 64 characters",
  baseVersion: "a version of the lists, or 0 when there are none",
  out: "a folder",
};

/** Validates the flags that commands use; throws `ToolError`. */
export function parseToolFlags(raw: RawToolFlags): ToolFlags {
  const parsed = flagsSchema.safeParse(raw);
  if (parsed.success) {
    const { author, baseVersion, out, ...flags } = parsed.data;
    return { ...flags, author, baseVersion, out };
  }
  const name = String(parsed.error.issues[0]?.path[0]);
  throw new ToolError(
    ToolExitCode.Usage,
    `${flagName(name)} is "${raw[name as keyof RawToolFlags]}"; ` +
      `allowed: ${allowedTextByFlag[name]}`,
  );
}

/** The address of a daemon of the fleet, and the secret that authenticates the tool to it. */
export interface FleetAccess {
  readonly peer: string;
  readonly secret: string;
}

/** Reads the address from flag or environment and the secret from the environment; throws `ToolError`. */
export function readFleetAccess(
  raw: RawToolFlags,
  environment: Readonly<Record<string, string | undefined>>,
): FleetAccess {
  const peer = raw.peer ?? environment[peerVariable];
  if (peer === undefined || !/^\S+:\d{1,5}$/.test(peer)) {
    throw new ToolError(
      ToolExitCode.Usage,
      `--peer (${peerVariable}) is ` +
        `${peer === undefined ? "not set" : `"${peer}"`}; allowed: host:port`,
    );
  }
  const secret = environment[secretVariable];
  if (secret !== undefined && secret !== "") return { peer, secret };
  throw new ToolError(
    ToolExitCode.Usage,
    `${secretVariable} is not set; allowed: the fleet's peer secret`,
  );
}
