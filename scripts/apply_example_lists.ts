/** Applies the lists of `examples/` to a fleet that has no lists yet. */
import { readFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { ListTexts } from "../src/services/lists/lists.ts";
import { ListsService } from "../src/gen/skylarkridge/v1/lists_pb.ts";

const maxAttemptCount = 100;
const retryIntervalMs = 100;

/**
 * Applies the given lists, or those of `examples/`, through one daemon; retries
 * while the daemon starts.
 */
export async function applyExampleLists(
  peerAddress: string,
  options: {
    readonly peerSecret: string;
    readonly texts?: ListTexts | undefined;
  },
): Promise<void> {
  const transport = createConnectTransport({
    baseUrl: `http://${peerAddress}`,
    httpVersion: "1.1",
    interceptors: [(next) => (call) => {
      call.header.set("authorization", `Bearer ${options.peerSecret}`);
      return next(call);
    }],
  });
  const client = createClient(ListsService, transport);
  const texts = options.texts ?? {
    plansText: await readFile("examples/plans.yaml", "utf8"),
    allowancesText: await readFile("examples/allowances.yaml", "utf8"),
  };
  for (let attempt = 1;; attempt++) {
    try {
      await client.applyLists({ texts, baseVersion: 0n, author: "demo" });
      return;
    } catch (error) {
      if (attempt === maxAttemptCount) throw error;
      await delay(retryIntervalMs);
    }
  }
}
