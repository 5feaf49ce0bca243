/**
 * Runs a stand-in for the platform as a process, configured by environment
 * variables. `POST /fault` injects faults.
 */
import { PlatformStandin } from "./platform_service/platform_standin.ts";

const host = "127.0.0.1";
const port = Number(process.env["STANDIN_PORT"]);
const vmListLagMs = Number(process.env["STANDIN_VM_LIST_LAG_MS"] ?? 1_000);

new PlatformStandin({ vmListLagMs }).server
  .listen(port, host, () => console.log("ready"));
