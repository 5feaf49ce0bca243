/**
 * Reads the daemon's settings from flags and environment variables and checks
 * all of them. The error has one line for each invalid setting, with the flag,
 * the variable, the value and the allowed values; values of secrets are never
 * shown.
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

/** Prefix of the environment variables, before the words of the flag in capitals. */
export const environmentPrefix = "SKYLARKRIDGE_";

const minSyncsPerDuration = 3;
const maxShownValueLength = 80;

/** The declarations of the daemon's flags for meow. */
export type SettingFlags = {
  readonly [N in SettingName]: { readonly type: "string" };
};

/** The unparsed values of the settings. */
export type SettingTexts = Readonly<
  Partial<Record<SettingName, string | undefined>>
>;

/** Returns the variable of a setting: `SKYLARKRIDGE_PERMIT_DURATION_MS` for `permitDurationMs`. */
export function environmentName(setting: string): string {
  const words = setting.replace(/[A-Z]/g, (c) => `_${c}`).toUpperCase();
  return `${environmentPrefix}${words}`;
}

/** Declares one string flag for each setting. */
export function createSettingFlags(): SettingFlags {
  const entries = settingNames.map((name) => [name, { type: "string" }]);
  return Object.fromEntries(entries) as SettingFlags;
}

/** Merges flags and environment variables, of which the flags take precedence, and checks the result. */
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
    ...(parsed.error?.issues ?? []).map((issue) => formatIssue(issue, texts)),
    ...(parsed.success ? findInconsistencies(parsed.data, texts) : []),
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

function formatIssue(issue: z.core.$ZodIssue, texts: SettingTexts): string {
  const name = issue.path[0] as SettingName;
  const { allowed } = getSettingDescription(name);
  const reason = name === "services" && texts[name] !== undefined
    ? ` (${issue.message})`
    : "";
  return `${formatSetting(name, texts)}; allowed: ${allowed}${reason}`;
}

/** Formats the flag, the variable and the value of a setting. */
function formatSetting(name: SettingName, texts: SettingTexts): string {
  return `${flagName(name)} (${environmentName(name)}) is ` +
    formatValue(name, texts[name]);
}

function formatValue(name: SettingName, text: string | undefined): string {
  if (text === undefined) return "not set";
  if (secretSettingNames.has(name)) return "hidden";
  const line = text.replace(/\s+/g, " ");
  const isLong = line.length > maxShownValueLength;
  return `"${isLong ? `${line.slice(0, maxShownValueLength)}...` : line}"`;
}

/** Checks the relations between settings; returns one line for each violated rule. */
function findInconsistencies(
  settings: Settings,
  texts: SettingTexts,
): string[] {
  const minDurationMs = minSyncsPerDuration * settings.ownershipIntervalMs;
  const rules: readonly ConsistencyRule[] = [
    {
      name: "permitDurationMs",
      isViolated: settings.permitDurationMs < minDurationMs,
      allowed: `at least ${minDurationMs} ms, ${minSyncsPerDuration} times ` +
        flagName("ownershipIntervalMs"),
    },
    {
      name: "leaseDurationMs",
      isViolated: settings.leaseDurationMs < minDurationMs,
      allowed: `at least ${minDurationMs} ms, ${minSyncsPerDuration} times ` +
        flagName("ownershipIntervalMs"),
    },
    {
      name: "defaultDeadlineMs",
      isViolated: settings.defaultDeadlineMs > settings.maxDeadlineMs,
      allowed: `at most ${settings.maxDeadlineMs} ms, the value of ` +
        flagName("maxDeadlineMs"),
    },
    {
      name: "peerAddress",
      isViolated: settings.peerAddress === settings.entryAddress,
      allowed: `an address other than ${flagName("entryAddress")}`,
    },
  ];
  return rules.filter((rule) => rule.isViolated).map((rule) =>
    `${formatSetting(rule.name, withDefaults(settings, texts))}; ` +
    `allowed: ${rule.allowed}`
  );
}

interface ConsistencyRule {
  readonly name: SettingName;
  readonly isViolated: boolean;
  readonly allowed: string;
}

/** Adds the effective values of the settings that the rules compare, so that a message shows the default of a setting that is not set. */
function withDefaults(settings: Settings, texts: SettingTexts): SettingTexts {
  return {
    ...texts,
    permitDurationMs: String(settings.permitDurationMs),
    leaseDurationMs: String(settings.leaseDurationMs),
    defaultDeadlineMs: String(settings.defaultDeadlineMs),
  };
}
