/** Runs the daemon of `fleet_main.ts` without a log, for the comparison in `log_cost.ts`. */
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
