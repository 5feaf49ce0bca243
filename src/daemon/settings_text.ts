/** Formats the settings for `--help`. */
import { flagName } from "../command_line/command_line.ts";
import { environmentName } from "./settings.ts";
import {
  getSettingDescription,
  type SettingDescription,
  settingNames,
} from "./settings_schema.ts";

const flagColumnWidth = 26;
const variableColumnWidth = 38;

/** Returns the text that `skylarkridged --help` prints. */
export function createSettingsHelp(): string {
  const lines = settingNames.map(getSettingDescription).map(formatHelpLine);
  return `skylarkridged: routes requests to servers that own keys exclusively

Usage
  $ skylarkridged [flags]

Settings (a flag goes before its environment variable)
${lines.join("\n")}

  --help                    print this text
  --version                 print the version

Exit codes
  0  stopped after draining
  1  failed
  2  a flag or setting is wrong
  3  a second signal ended the daemon before it had drained
`;
}

function formatHelpLine(setting: SettingDescription): string {
  const flag = flagName(setting.name).padEnd(flagColumnWidth);
  const variable = environmentName(setting.name).padEnd(variableColumnWidth);
  return `  ${flag}${variable}${setting.description}; ${
    formatAllowedValues(setting)
  }`;
}

function formatAllowedValues(setting: SettingDescription): string {
  if (setting.isRequired) return `${setting.allowed} (required)`;
  if (setting.defaultText === undefined) return setting.allowed;
  return `${setting.allowed} (default ${setting.defaultText})`;
}
