/**
 * The generated sections of docs/OPERATING.md: settings, message codes and exit
 * codes. `npm run docs` writes them; a test checks that they are up to date.
 */
import { exitCodeTexts, ToolExitCode } from "../cli/exit_code.ts";
import { flagName } from "../command_line/command_line.ts";
import { environmentName } from "../daemon/settings.ts";
import {
  getSettingDescription,
  settingNames,
} from "../daemon/settings_schema.ts";
import { getMessageText, MessageCode } from "../diagnostics/messages.ts";
import { statusOfCode } from "../services/entry/refusal.ts";
import { formatMarkdownTable } from "./markdown_table.ts";
import { replaceSection } from "./page_section.ts";

/** The generated sections of the page, each between two marker comments. */
enum PageSection {
  Settings = "settings",
  MessageCodes = "message codes",
  ExitCodes = "exit codes",
}

/** Replaces every generated section; throws if the page lacks the markers of a section. */
export function updateOperatingPage(page: string): string {
  const tables: readonly (readonly [PageSection, string])[] = [
    [PageSection.Settings, createSettingsTable()],
    [PageSection.MessageCodes, createMessageTable()],
    [PageSection.ExitCodes, createExitCodeTable()],
  ];
  return tables.reduce(
    (text, [section, table]) => replaceSection(text, { section, table }),
    page,
  );
}

function createSettingsTable(): string {
  const rows = settingNames.map(getSettingDescription).map((setting) => [
    `\`${flagName(setting.name)}\``,
    `\`${environmentName(setting.name)}\``,
    setting.description,
    setting.allowed,
    setting.isRequired ? "required" : setting.defaultText ?? "none",
  ]);
  return formatMarkdownTable(
    ["Flag", "Variable", "Meaning", "Allowed", "Default"],
    rows,
  );
}

function createMessageTable(): string {
  const rows = Object.values(MessageCode).map((code) => [
    code,
    String(statusOfCode(code)),
    getMessageText(code).replace("{0}", "…"),
  ]);
  return formatMarkdownTable(["Code", "HTTP status", "Message"], rows);
}

function createExitCodeTable(): string {
  const rows = Object.entries(exitCodeTexts).map(([code, text]) => [
    code,
    ToolExitCode[Number(code)] ?? "",
    text,
  ]);
  return formatMarkdownTable(["Code", "Name", "Meaning"], rows);
}
