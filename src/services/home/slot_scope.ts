/** What the tasks of one backend server work with. */
import type { HomeContext } from "./home_context.ts";
import type { HomedServer } from "./homed_server.ts";

/** One server and what the home shares. */
export interface ServerTaskScope {
  readonly server: HomedServer;
  readonly context: HomeContext;
}
