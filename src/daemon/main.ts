#!/usr/bin/env node
/**
 * The entry point of `skylarkridged`: runs one daemon, and drains it on SIGTERM,
 * on SIGINT or when an operator orders it. A second signal ends the process
 * immediately.
 */
import {
  CommandLineRequest,
  createUsageError,
  readCommandLine,
} from "../command_line/command_line.ts";
import { LogEvent } from "../diagnostics/log_events.ts";
import { MessageCode } from "../diagnostics/messages.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { Kernel } from "../kernel/kernel.ts";
import { toRouterError } from "../types/errors.ts";
import { createDaemon } from "./create_daemon.ts";
import { DaemonExitCode } from "./exit_code.ts";
import { createSettingFlags, parseSettings } from "./settings.ts";
import type { Settings } from "./settings_schema.ts";
import { createSettingsHelp } from "./settings_text.ts";

const stopSignals = ["SIGTERM", "SIGINT"] as const;

async function main(): Promise<DaemonExitCode> {
  const commandLine = readCommandLine({
    importMeta: import.meta,
    arguments: process.argv.slice(2),
    flags: createSettingFlags(),
    help: createSettingsHelp(),
  });
  if (commandLine.isErr()) return reportUsage(commandLine.error);
  switch (commandLine.value.request) {
    case CommandLineRequest.Help:
      console.log(createSettingsHelp());
      return DaemonExitCode.Success;
    case CommandLineRequest.Version:
      console.log(commandLine.value.version);
      return DaemonExitCode.Success;
    case CommandLineRequest.Run:
  }
  const [unexpected] = commandLine.value.input;
  if (unexpected !== undefined) {
    return reportUsage(createUsageError(`unexpected argument ${unexpected}`));
  }
  const settings = parseSettings(commandLine.value.flags, process.env);
  if (settings.isErr()) return reportUsage(settings.error);
  return await runDaemon(settings.value);
}

function reportUsage(error: { readonly message: string }): DaemonExitCode {
  console.error(error.message);
  return DaemonExitCode.Usage;
}

async function runDaemon(settings: Settings): Promise<DaemonExitCode> {
  const daemon = createDaemon(settings);
  reportUnhandledErrors(daemon);
  void exitOnSecondSignal();
  const drainRequested = waitForDrainRequest(daemon);
  await daemon.start();
  await drainRequested;
  await daemon.stop();
  return DaemonExitCode.Success;
}

/** Waits for a stop signal or an operator's order to drain, then starts the drain. */
async function waitForDrainRequest(daemon: Kernel): Promise<void> {
  const lifecycle = daemon.get(ServiceName.Lifecycle);
  await Promise.race([waitForSignals(1), lifecycle.waitForDraining()]);
  lifecycle.beginDraining();
}

async function exitOnSecondSignal(): Promise<void> {
  await waitForSignals(2);
  process.exit(DaemonExitCode.Forced);
}

/** Resolves when `count` stop signals have been received since the call. */
function waitForSignals(count: number): Promise<void> {
  let remainingCount = count;
  return new Promise((resolve) => {
    function onSignal(): void {
      remainingCount -= 1;
      if (remainingCount === 0) resolve();
    }
    for (const signal of stopSignals) process.on(signal, onSignal);
  });
}

/** Logs unhandled errors and exits, because the daemon's state is unknown after one. */
function reportUnhandledErrors(daemon: Kernel): void {
  process.on("uncaughtException", (error) => {
    const failure = toRouterError(error, MessageCode.Internal, {
      step: "run daemon",
    });
    daemon.get(ServiceName.Log).write(LogEvent.UnhandledError, {
      code: failure.code,
      error: failure.message,
      stack: error instanceof Error ? error.stack : undefined,
    });
    process.exit(DaemonExitCode.Failure);
  });
}

try {
  process.exitCode = await main();
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exit(DaemonExitCode.Failure);
}
