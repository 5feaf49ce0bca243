/** Binds a server to an address. */
import type { Server } from "node:net";

/** Starts listening; rejects if the server cannot bind to the address. */
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
