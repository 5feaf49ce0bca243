/** Abort controllers on which many tasks wait at the same time. */
import { setMaxListeners } from "node:events";

/** Creates a controller without Node's warning about many listeners. */
export function createStopController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
