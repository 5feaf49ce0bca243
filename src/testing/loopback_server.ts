/** Makes a listener of a test a backend server on loopback. */
import type { AddressInfo, Server } from "node:net";
import type { ServerEntry } from "../types/routing.ts";

/** Starts to listen on a free port; resolves with the entry of the server. */
export async function listenAsServer(server: Server): Promise<ServerEntry> {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return {
    id: "server-1",
    bornAtMs: 1,
    service: "roster",
    address: `127.0.0.1:${port}`,
    zone: "a",
    slotCount: 3,
    isDraining: false,
  };
}
