/**
 * The daemon's settings: each is a flag and an environment variable, checked
 * whole at start. A bad setting names the flag, the variable, the value and
 * what is allowed.
 */
import { parse as parseYaml } from "yaml";
import { z } from "zod";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../diagnostics/messages.ts";
import { LogFormat } from "../services/log/consola_log.ts";
import { FencingMode, RequestClass } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";

/** Environment variables are the flag in capitals after this prefix. */
export const environmentPrefix = "SKYLARKRIDGE_";

const addressSchema = z.string().regex(/^[^:\s]+:\d{1,5}$/, "host:port");

const serviceDefinitionsSchema = z.array(z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  requestClass: z.enum(RequestClass),
  shardCount: z.number().int().min(1).max(65_536).default(256),
  fencingMode: z.enum(FencingMode),
  slotsPerServer: z.number().int().min(1).default(3),
  connectionsPerServer: z.number().int().min(2).default(50),
  churnWeight: z.number().min(0).default(1),
})).min(1);

function parseServices(text: string, context: z.RefinementCtx) {
  const parsed = serviceDefinitionsSchema.safeParse(parseYaml(text));
  if (parsed.success) return parsed.data;
  context.addIssue({ code: "custom", message: z.prettifyError(parsed.error) });
  return z.NEVER;
}

const settingsSchema = z.strictObject({
  daemonId: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().regex(/^[a-z0-9-]+$/).default("region"),
  entryAddress: addressSchema,
  peerAddress: addressSchema,
  platformAddress: addressSchema,
  peerSecret: z.string().min(16, "at least 16 characters"),
  services: z.string().transform(parseServices),
  statsdAddress: addressSchema.optional(),
  logFormat: z.enum(LogFormat).default(LogFormat.Text),
  platformTimeoutMs: z.coerce.number().int().min(10).default(1_000),
  vmPollIntervalMs: z.coerce.number().int().min(50).default(1_000),
  permitDurationMs: z.coerce.number().int().min(200).default(1_800),
  leaseDurationMs: z.coerce.number().int().min(100).default(1_000),
  ownershipIntervalMs: z.coerce.number().int().min(20).default(300),
  defaultDeadlineMs: z.coerce.number().int().min(1).default(10_000),
  requestTimeoutMs: z.coerce.number().int().min(100).default(10_000),
  maxBodyBytes: z.coerce.number().int().min(0).default(1_048_576),
  maxHeaderBytes: z.coerce.number().int().min(1_024).default(16_384),
  drainNoticeMs: z.coerce.number().int().min(0).default(500),
});

/** The daemon's settings after the check. */
export type Settings = z.infer<typeof settingsSchema>;
/** The name of a setting, as the code uses it. */
export type SettingName = keyof Settings;

/** Every setting, in the order of the schema. */
export const settingNames = Object.keys(
  settingsSchema.shape,
) as readonly SettingName[];

/** `permitDurationMs` as `--permit-duration-ms`. */
export function flagName(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`)}`;
}

/** `permitDurationMs` as `SKYLARKRIDGE_PERMIT_DURATION_MS`. */
export function environmentName(setting: string): string {
  const words = setting.replace(/[A-Z]/g, (c) => `_${c}`).toUpperCase();
  return `${environmentPrefix}${words}`;
}

/** Merges flags over the environment and checks the whole. */
export function parseSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Settings, RouterError> {
  const values: Record<string, unknown> = {};
  for (const name of settingNames) {
    const value = flags[name] ?? environment[environmentName(name)];
    if (value !== undefined) values[name] = value;
  }
  const parsed = settingsSchema.safeParse(values);
  if (parsed.success) return ok(parsed.data);
  const lines = parsed.error.issues.map((issue) =>
    describeIssue(issue, values)
  );
  return err(
    new RouterError(MessageCode.SettingInvalid, "check settings", {
      detail: lines.join("\n"),
    }),
  );
}

function describeIssue(
  issue: z.core.$ZodIssue,
  values: Readonly<Record<string, unknown>>,
): string {
  const name = String(issue.path[0]);
  const value = values[name] === undefined ? "not set" : `"${values[name]}"`;
  return `${flagName(name)} (${environmentName(name)}) is ${value}: ` +
    issue.message;
}
