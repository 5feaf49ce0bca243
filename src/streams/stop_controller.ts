/** Abort controllers whose signal has many listeners at the same time. */
import { setMaxListeners } from "node:events";

/** Creates an abort controller for which Node does not warn about many listeners. */
export function createStopController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
