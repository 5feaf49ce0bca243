/** The objects that the tasks of one backend server share. */
import type { HomeContext } from "./home_context.ts";
import type { HomedServer } from "./homed_server.ts";

/** One server and the context of its home. */
export interface ServerTaskScope {
  readonly server: HomedServer;
  readonly context: HomeContext;
}
