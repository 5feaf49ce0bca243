/** Calls the ownership service of other daemons, with a timeout per call. */
import { createClient } from "@connectrpc/connect";
import { OwnershipService } from "../../gen/skylarkridge/v1/ownership_pb.ts";
import { CounterName } from "../metrics/metrics.ts";
import { peerCallTimeoutMs } from "./control_options.ts";
import type { ControlState } from "./control_state.ts";
import {
  decodeSyncAnswer,
  encodeDaemon,
  encodeSyncReport,
} from "./sync_codec.ts";
import type {
  PromiseAnswer,
  PromiseRequest,
  SyncAnswer,
  SyncReport,
} from "./sync_messages.ts";

/** Sends a report to a peer; returns undefined when the call fails. */
export function trySync(
  state: ControlState,
  address: string,
  report: SyncReport,
): Promise<SyncAnswer | undefined> {
  const client = createClient(
    OwnershipService,
    state.transport.connectTo(address),
  );
  return callWithTimeout(state, async (signal) => {
    const { members } = state.follower.view();
    const request = encodeSyncReport(report, members);
    const answer = await client.sync(request, { signal });
    return decodeSyncAnswer(answer);
  });
}

/** Asks a member for its promise; returns undefined when the call fails. */
export function tryAskPromise(
  state: ControlState,
  address: string,
  { candidate, epoch }: PromiseRequest,
): Promise<PromiseAnswer | undefined> {
  const client = createClient(
    OwnershipService,
    state.transport.connectTo(address),
  );
  return callWithTimeout(state, async (signal) => {
    const answer = await client.promiseEpoch({
      candidate: encodeDaemon(candidate),
      epoch: BigInt(epoch),
    }, { signal });
    return {
      isPromised: answer.isPromised,
      epoch: Number(answer.epoch),
      tokenAgeMs: answer.tokenAgeMs,
    };
  });
}

async function callWithTimeout<T>(
  state: ControlState,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T | undefined> {
  const cancelled = new AbortController();
  const finished = new AbortController();
  const timeout = state.clock.sleep(peerCallTimeoutMs, finished.signal)
    .then(() => undefined);
  const answered = call(cancelled.signal).catch(() => undefined);
  const answer = await Promise.race([answered, timeout]);
  finished.abort();
  cancelled.abort();
  if (answer === undefined) state.metrics.count(CounterName.PeerErrors);
  return answer;
}
