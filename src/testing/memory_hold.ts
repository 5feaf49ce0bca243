/** Holds of memory for tests in which no answer is read. */
import { BodyMemory, MemoryHold } from "../streams/body_memory.ts";

/** Creates a hold for which no byte is left. */
export function createEmptyHold(): MemoryHold {
  return new MemoryHold({
    bodies: new BodyMemory(0),
    streams: new BodyMemory(0),
  });
}
