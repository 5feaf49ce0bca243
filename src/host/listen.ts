/** Binds a server to an address. */
import type { Server } from "node:net";

/** Starts listening; rejects when the address is not available. */
export function listen(
  server: Server,
  options: { readonly host: string; readonly port: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
