/** Runs the daemon for the platform without a log; `log_cost.ts` compares it with the normal daemon. */
import { settingsVariable } from "../platform/create_platform.ts";
import { createFleetDaemon } from "../src/daemon/create_fleet_daemon.ts";
import { readFleetSettings } from "../src/daemon/fleet_settings.ts";
import { Log } from "../src/services/log/log.ts";

/** Discards every log line. */
class NoLog extends Log {
  override write(): void {}
}

const settings = readFleetSettings(process.env[settingsVariable] ?? "");
if (settings.isErr()) throw settings.error;
await createFleetDaemon(settings.value, new NoLog()).start();
