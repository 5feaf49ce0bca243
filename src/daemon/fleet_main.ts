/**
 * The entry point of the daemon that runs on the platform. On SIGTERM the
 * daemon resigns as key granter, leaves the load balancer, finishes its
 * in-flight requests and exits.
 */
import { LogEvent } from "../diagnostics/log_events.ts";
// Imported before the services, so that the signal handlers are installed early.
import { processSignals } from "./process_signals.ts";
import { settingsVariable } from "../../platform/create_platform.ts";
import type { Kernel } from "../kernel/kernel.ts";
import { ServiceName } from "../kernel/service_name.ts";
import { createFleetDaemon } from "./create_fleet_daemon.ts";
import { DaemonExitCode } from "./exit_code.ts";
import { type FleetSettings, readFleetSettings } from "./fleet_settings.ts";

/** Longest wait for the services to stop after the gateway has left; fits into the gateway's reserve of the grace time. */
const stopTimeoutMs = 300;

async function main(): Promise<DaemonExitCode> {
  const path = process.env[settingsVariable];
  if (path === undefined) {
    console.error(`${settingsVariable} must hold the path of a settings file`);
    return DaemonExitCode.Usage;
  }
  const settings = readFleetSettings(path);
  if (settings.isErr()) {
    console.error(settings.error.message);
    return DaemonExitCode.Usage;
  }
  return await runDaemon(settings.value, path);
}

async function runDaemon(
  settings: FleetSettings,
  path: string,
): Promise<DaemonExitCode> {
  const daemon = createFleetDaemon(settings);
  const log = daemon.get(ServiceName.Log);
  try {
    await daemon.start();
  } catch (error) {
    log.write(LogEvent.DaemonCouldNotStart, { reason: String(error) });
    await log.stop();
    return DaemonExitCode.Failure;
  }
  log.write(LogEvent.DaemonStarted, {
    zone: settings.zone,
    store: settings.storeAddress,
  });
  reportUnhandledErrors(daemon);
  processSignals.onReload(() => reload(daemon, { settings, path }));
  await processSignals.terminated;
  log.write(LogEvent.DaemonLeaving, { graceMs: settings.graceMs });
  await Promise.all([
    daemon.get(ServiceName.KeyGranter).resign(),
    daemon.get(ServiceName.Gateway).leave(),
  ]);
  log.write(LogEvent.DaemonStopped);
  // No request is in flight any more, and a call to a store that does not
  // answer may take longer than the platform waits.
  const limit = daemon.get(ServiceName.Clock).sleep(stopTimeoutMs);
  await Promise.race([daemon.stop(), limit]);
  return DaemonExitCode.Success;
}

/** Checks the settings file and reports whether it changed; changes apply at the next start. */
function reload(
  daemon: Kernel,
  { settings, path }: {
    readonly settings: FleetSettings;
    readonly path: string;
  },
): void {
  const log = daemon.get(ServiceName.Log);
  const read = readFleetSettings(path);
  if (read.isErr()) {
    log.write(LogEvent.SettingsRefused, { reason: read.error.message });
    return;
  }
  const isChanged = JSON.stringify(read.value) !== JSON.stringify(settings);
  log.write(LogEvent.SettingsRead, { isChanged, appliesAt: "next start" });
}

/** Logs unhandled errors and exits, because the daemon's state is unknown after one. */
function reportUnhandledErrors(daemon: Kernel): void {
  process.on("uncaughtException", (error) => {
    console.error(error);
    const log = daemon.get(ServiceName.Log);
    log.write(LogEvent.UnhandledError, {
      error: error instanceof Error ? error.stack : String(error),
    });
    const limit = new Promise((done) => setTimeout(done, stopTimeoutMs));
    void Promise.race([log.stop(), limit])
      .then(() => process.exit(DaemonExitCode.Failure));
  });
}

void main().then((exitCode) => process.exit(exitCode));
