/**
 * Allocates ports for processes that are started with a fixed port. The ports
 * are below the ephemeral range, from which the system takes the ports of
 * outgoing connections and of servers that listen on port 0. Otherwise the
 * system could give an allocated port to another process before the intended
 * process listens on it, or while that process restarts.
 */
import { once } from "node:events";
import { createServer } from "node:net";

const host = "127.0.0.1";
/** The ephemeral range of Linux starts at 32,768. */
const portRange = { first: 20_000, end: 32_768 };
/** Distance between the first ports that processes with consecutive ids try, so that they rarely collide. */
const portsPerProcess = 101;

/** Shared by the whole process, so that no port is returned twice until the range is exhausted. */
let triedPortCount = 0;

/** Finds a port on which nothing listens. */
export async function findFreePort(): Promise<number> {
  const rangeLength = portRange.end - portRange.first;
  for (let attempt = 0; attempt < rangeLength; attempt++) {
    const offset = process.pid * portsPerProcess + triedPortCount;
    triedPortCount += 1;
    const port = portRange.first + offset % rangeLength;
    if (await isFree(port)) return port;
  }
  throw new Error(
    `no port from ${portRange.first} to ${portRange.end - 1} is free`,
  );
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await once(server.listen(port, host), "listening");
  } catch {
    // Another process listens on the port.
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
