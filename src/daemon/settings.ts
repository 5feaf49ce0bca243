/**
 * Reads the daemon's settings from flags and environment variables and checks
 * them whole. A bad setting gives one line with the flag, the variable, the
 * value and what is allowed; the value of a secret is never shown.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { flagName } from "../command_line/command_line.ts";
import { formatSuggestion } from "../command_line/nearest_name.ts";
import { MessageCode } from "../diagnostics/messages.ts";
import { RouterError } from "../types/errors.ts";
import {
  getSettingDescription,
  secretSettingNames,
  type SettingName,
  settingNames,
  type Settings,
  settingsSchema,
} from "./settings_schema.ts";

/** Environment variables are the flag in capitals after this prefix. */
export const environmentPrefix = "SKYLARKRIDGE_";

const minSyncsPerValidity = 3;
const maxShownLength = 80;

/** The flags of the daemon, as meow takes them. */
export type SettingFlags = {
  readonly [N in SettingName]: { readonly type: "string" };
};

/** Values by setting, before the check. */
export type SettingTexts = Readonly<
  Partial<Record<SettingName, string | undefined>>
>;

/** `permitDurationMs` as `SKYLARKRIDGE_PERMIT_DURATION_MS`. */
export function environmentName(setting: string): string {
  const words = setting.replace(/[A-Z]/g, (c) => `_${c}`).toUpperCase();
  return `${environmentPrefix}${words}`;
}

/** Declares one text flag for each setting. */
export function createSettingFlags(): SettingFlags {
  const entries = settingNames.map((name) => [name, { type: "string" }]);
  return Object.fromEntries(entries) as SettingFlags;
}

/** Merges flags over the environment and checks the whole. */
export function parseSettings(
  flags: SettingTexts,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Settings, RouterError> {
  const texts: Partial<Record<SettingName, string>> = {};
  for (const name of settingNames) {
    const text = flags[name] ?? environment[environmentName(name)];
    if (text !== undefined) texts[name] = text;
  }
  const parsed = settingsSchema.safeParse(texts);
  const lines = [
    ...findUnknownVariables(environment),
    ...(parsed.error?.issues ?? []).map((issue) => describeIssue(issue, texts)),
    ...(parsed.success ? findContradictions(parsed.data, texts) : []),
  ];
  if (parsed.success && lines.length === 0) return ok(parsed.data);
  return err(
    new RouterError(MessageCode.SettingInvalid, "check settings", {
      detail: lines.join("\n"),
    }),
  );
}

function findUnknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): string[] {
  const known = settingNames.map(environmentName);
  return Object.keys(environment)
    .filter((name) => name.startsWith(environmentPrefix))
    .filter((name) => !known.includes(name))
    .map((name) => `unknown variable ${name}${formatSuggestion(name, known)}`);
}

function describeIssue(issue: z.core.$ZodIssue, texts: SettingTexts): string {
  const name = issue.path[0] as SettingName;
  const { allowed } = getSettingDescription(name);
  const reason = name === "services" && texts[name] !== undefined
    ? ` (${issue.message})`
    : "";
  return `${describeValue(name, texts)}; allowed: ${allowed}${reason}`;
}

/** Names the flag, the variable and the value of a setting. */
function describeValue(name: SettingName, texts: SettingTexts): string {
  return `${flagName(name)} (${environmentName(name)}) is ` +
    showValue(name, texts[name]);
}

function showValue(name: SettingName, text: string | undefined): string {
  if (text === undefined) return "not set";
  if (secretSettingNames.has(name)) return "hidden";
  const line = text.replace(/\s+/g, " ");
  const isLong = line.length > maxShownLength;
  return `"${isLong ? `${line.slice(0, maxShownLength)}...` : line}"`;
}

/** Checks settings against each other. */
function findContradictions(
  settings: Settings,
  texts: SettingTexts,
): string[] {
  const minValidityMs = minSyncsPerValidity * settings.ownershipIntervalMs;
  const rules: readonly ContradictionRule[] = [
    {
      name: "permitDurationMs",
      isBroken: settings.permitDurationMs < minValidityMs,
      allowed: `at least ${minValidityMs} ms, ${minSyncsPerValidity} times ` +
        flagName("ownershipIntervalMs"),
    },
    {
      name: "leaseDurationMs",
      isBroken: settings.leaseDurationMs < minValidityMs,
      allowed: `at least ${minValidityMs} ms, ${minSyncsPerValidity} times ` +
        flagName("ownershipIntervalMs"),
    },
    {
      name: "defaultDeadlineMs",
      isBroken: settings.defaultDeadlineMs > settings.maxDeadlineMs,
      allowed: `at most ${settings.maxDeadlineMs} ms, the value of ` +
        flagName("maxDeadlineMs"),
    },
    {
      name: "peerAddress",
      isBroken: settings.peerAddress === settings.entryAddress,
      allowed: `another address than ${flagName("entryAddress")}`,
    },
  ];
  return rules.filter((rule) => rule.isBroken).map((rule) =>
    `${describeValue(rule.name, withDefaults(settings, texts))}; ` +
    `allowed: ${rule.allowed}`
  );
}

interface ContradictionRule {
  readonly name: SettingName;
  readonly isBroken: boolean;
  readonly allowed: string;
}

/** Shows a default where a contradiction involves a setting that is not set. */
function withDefaults(settings: Settings, texts: SettingTexts): SettingTexts {
  return {
    ...texts,
    permitDurationMs: String(settings.permitDurationMs),
    leaseDurationMs: String(settings.leaseDurationMs),
    defaultDeadlineMs: String(settings.defaultDeadlineMs),
  };
}
