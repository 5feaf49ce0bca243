/** Runs a daemon of the edition for the platform in a process of its own, for a test. */
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { settingsVariable } from "../../platform/create_platform.ts";
import { findFreePort } from "../../scripts/free_port.ts";
import {
  ProcessGroup,
  type StartedProcess,
} from "../../scripts/process_group.ts";
import { encodeDaemonSettings } from "../../standins/fleet/daemon_settings.ts";
import type { LogEvent } from "../diagnostics/log_events.ts";

/** A daemon that runs in its own process. */
export interface DaemonProcess {
  readonly process: StartedProcess;
  readonly callersPort: number;
  readonly readinessPort: number;
  /** Returns the log lines that the daemon has written so far. */
  readLog(): { readonly event: LogEvent; readonly reason?: string }[];
}

/** Runs a daemon; without `storePort`, nothing listens at the store's address. */
export async function withDaemon(
  ports: { readonly callersPort?: number; readonly storePort?: number },
  body: (daemon: DaemonProcess) => Promise<void>,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "skylarkridge-"));
  const group = new ProcessGroup();
  const callersPort = ports.callersPort ?? await findFreePort();
  const readinessPort = await findFreePort();
  const storePort = ports.storePort ?? await findFreePort();
  const peerPort = await findFreePort();
  const settingsPath = join(folder, "settings.json");
  const logPath = join(folder, "daemon.log");
  writeFileSync(
    settingsPath,
    encodeDaemonSettings("front-1", {
      callersPort,
      readinessPort,
      storePort,
      peerPort,
    }),
  );
  try {
    const process = group.start("front-1", {
      program: "src/daemon/fleet_main.ts",
      environment: { [settingsVariable]: settingsPath },
      logPath,
    });
    await body({
      process,
      callersPort,
      readinessPort,
      readLog: () =>
        existsSync(logPath)
          ? readFileSync(logPath, "utf8").split("\n")
            .filter(Boolean).map((line) => JSON.parse(line))
          : [],
    });
  } finally {
    await group.endAll();
    rmSync(folder, { recursive: true });
  }
}
