/** The text of `skylarkridge --help`. */
import type { Command } from "./command.ts";
import { exitCodeTexts } from "./exit_code.ts";

const commandColumnWidth = 48;

/** Renders the commands, the flags and the exit codes. */
export function createToolHelp(commands: readonly Command[]): string {
  const commandLines = commands.map(({ name, usage, summary }) =>
    `  ${`${name} ${usage}`.trimEnd().padEnd(commandColumnWidth)}${summary}`
  );
  const exitLines = Object.entries(exitCodeTexts)
    .map(([code, text]) => `  ${code.padStart(2)}  ${text}`);
  return `skylarkridge: shows and changes a fleet of skylarkridged

Usage
  $ skylarkridge COMMAND [arguments] [flags]

Commands
${commandLines.join("\n")}

Flags
  --peer HOST:PORT      peer listener of any daemon (SKYLARKRIDGE_PEER)
  --json                print the result as JSON
  --wait                after \`lists apply\`, wait for every daemon
  --wait-timeout-ms N   longest wait, 1 to 3600000 ms (default 30000)
  --author NAME         who changes the lists (default: operator)
  --base-version N      version of the lists that the change starts from
  --out FOLDER          folder into which \`lists show\` writes both lists
  --help                print this text
  --version             print the version

The fleet's secret is read from SKYLARKRIDGE_PEER_SECRET only.

Exit codes
${exitLines.join("\n")}
`;
}
