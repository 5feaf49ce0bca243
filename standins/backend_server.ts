/**
 * Runs a backend server stand-in as a process, configured by environment
 * variables. `GET /-/log` returns the executions of the stand-in;
 * `POST /-/behaviour` changes its behaviour.
 */
import { BackendStandin } from "./backend/backend_standin.ts";
import { defaultBehaviour } from "./backend/behaviour.ts";

const host = "127.0.0.1";

/** Reads a number from an environment variable. */
function readNumber(name: string, fallback: number): number {
  return Number(process.env[name] ?? fallback);
}

const standin = new BackendStandin(
  process.env["STANDIN_SERVER_ID"] ?? "server",
  {
    connectionLimit: readNumber("STANDIN_CONNECTIONS", 50),
    behaviour: {
      slotCount: readNumber("STANDIN_SLOTS", defaultBehaviour.slotCount),
      serviceTimeMs: readNumber(
        "STANDIN_SERVICE_TIME_MS",
        defaultBehaviour.serviceTimeMs,
      ),
      coldStartMs: readNumber("STANDIN_COLD_START_MS", 0),
      probeTimeMs: readNumber(
        "STANDIN_PROBE_TIME_MS",
        defaultBehaviour.probeTimeMs,
      ),
      checksFence: process.env["STANDIN_CHECKS_FENCE"] === "1",
    },
  },
);
standin.server.listen(
  readNumber("STANDIN_PORT", 0),
  host,
  () => console.log("ready"),
);
