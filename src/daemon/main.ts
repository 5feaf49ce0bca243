#!/usr/bin/env node
/** `skylarkridged`: starts one daemon and stops it on SIGTERM or SIGINT. */
import meow from "meow";
import { createDaemon } from "./create_daemon.ts";
import {
  environmentName,
  flagName,
  parseSettings,
  settingNames,
} from "./settings.ts";

const exitUsage = 2;
const exitFailure = 1;

function createHelp(): string {
  const lines = settingNames.map((name) =>
    `    ${flagName(name).padEnd(28)} ${environmentName(name)}`
  );
  return `
  Usage
    $ skylarkridged [flags]

  Settings (a flag goes before its environment variable)
${lines.join("\n")}
`;
}

async function main(): Promise<void> {
  const cli = meow(createHelp(), {
    importMeta: import.meta,
    description: "Routes requests to servers that own keys exclusively",
  });
  const settings = parseSettings(cli.flags, process.env);
  if (settings.isErr()) {
    console.error(settings.error.message);
    process.exitCode = exitUsage;
    return;
  }
  const daemon = createDaemon(settings.value);
  await daemon.start();
  await waitForStopSignal();
  await daemon.stop();
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

try {
  await main();
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exit(exitFailure);
}
