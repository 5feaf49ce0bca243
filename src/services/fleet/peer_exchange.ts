/**
 * Copies the tables of other daemons while this daemon is cut off: while
 * neither the store nor the key granter supplies it with changes. The daemon
 * may not even know who the key granter is, since it learns that from a table.
 * Any daemon that the store or the key granter still serves can help.
 */
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { CounterName } from "../metrics/metrics.ts";
import { FleetCallError, type FleetCalls, FleetPath } from "./fleet_calls.ts";
import {
  decodeSyncAnswer,
  encodeCopiesRequest,
  isOfEra,
} from "./sync_codec.ts";

/** How long a daemon is cut off before it asks others; a single failed call to the store is over sooner. */
const cutOffDelayMs = 300;
/** Longest time for which a daemon that can help waits for a change before it answers. */
const helperWaitMs = 600;
/** Time for the answer beyond that wait. */
const answerMarginMs = 400;
/** Shortest pause between two questions; changes within it are sent together. */
const coalesceMs = 20;
/** Pause after a daemon could not help; the longer one applies once all have been asked. */
const pauseMs = { nextPeer: 100, nextRound: 800 };

/** Asks other daemons for changes while this daemon is cut off. */
export class PeerExchange {
  readonly #services: ServiceLookup;
  readonly #calls: FleetCalls;
  readonly #signal: AbortSignal;
  /** The daemons that are still to be asked in this round. */
  #remainingPeers: string[] = [];

  /** `signal` ends the exchange. */
  constructor(
    services: ServiceLookup,
    options: { readonly calls: FleetCalls; readonly signal: AbortSignal },
  ) {
    this.#services = services;
    this.#calls = options.calls;
    this.#signal = options.signal;
  }

  /** Exchanges tables whenever this daemon is cut off. */
  async run(): Promise<void> {
    const signal = this.#signal;
    const clock = this.#services.get(ServiceName.Clock);
    const feed = this.#services.get(ServiceName.TableFeed);
    while (!signal.aborted) {
      if (feed.isCutOff()) {
        await clock.sleep(cutOffDelayMs, signal);
        await this.#exchange();
      } else {
        await feed.cutOffChanged.wait(signal);
      }
    }
  }

  /** Asks one daemon after the other, and the same one again as long as it can help. */
  async #exchange(): Promise<void> {
    const clock = this.#services.get(ServiceName.Clock);
    const feed = this.#services.get(ServiceName.TableFeed);
    let helper: string | undefined;
    this.#remainingPeers = this.#shufflePeers();
    while (feed.isCutOff() && !this.#signal.aborted) {
      const peer = helper ?? this.#remainingPeers.pop();
      if (peer === undefined) {
        await clock.sleep(pauseMs.nextRound, this.#signal);
        this.#remainingPeers = this.#shufflePeers();
        continue;
      }
      // A daemon that has not helped yet answers at once, so that one that
      // cannot be reached costs little time.
      const isHelping = await this.#copyFrom(peer, {
        waitMs: peer === helper ? helperWaitMs : 0,
      });
      if (isHelping && peer !== helper) this.#logHelper(peer);
      helper = isHelping ? peer : undefined;
      await clock.sleep(
        isHelping ? coalesceMs : pauseMs.nextPeer,
        this.#signal,
      );
    }
  }

  /** Applies the changes that a daemon knows; returns false if it is cut off itself or does not answer. */
  async #copyFrom(
    address: string,
    { waitMs }: { readonly waitMs: number },
  ): Promise<boolean> {
    const feed = this.#services.get(ServiceName.TableFeed);
    const directory = this.#services.get(ServiceName.Directory);
    const metrics = this.#services.get(ServiceName.Metrics);
    try {
      const bytes = await this.#calls.post({
        address,
        path: FleetPath.Copies,
        body: encodeCopiesRequest({
          versions: feed.versions(),
          leavingIncarnations: directory.leavingIncarnations(),
          waitMs,
        }),
        timeoutMs: waitMs + answerMarginMs,
        signals: [this.#signal],
      });
      const { eras } = this.#services.get(ServiceName.RowStore);
      const answer = decodeSyncAnswer(bytes, eras.current);
      // Servers that are missing from the copy may be about to register again.
      if (!answer.isDirectoryComplete) directory.expectReregistrations();
      feed.applyFromPeer(answer.updates);
      if (isOfEra(answer, eras.current) && answer.isDirectoryComplete) {
        directory.markComplete();
      }
      for (const incarnation of answer.leavingIncarnations) {
        directory.noteLeaving(incarnation);
      }
      metrics.count(CounterName.CopiesFetchedFromPeer);
      return true;
    } catch (error) {
      const status = error instanceof FleetCallError ? error.status : undefined;
      metrics.count(CounterName.PeerErrors, `copies-${status ?? "unanswered"}`);
      return false;
    }
  }

  #logHelper(peer: string): void {
    const versions = this.#services.get(ServiceName.TableFeed).versions();
    this.#services.get(ServiceName.Log).write(LogEvent.TablesCopiedFromPeer, {
      peer,
      version: Math.max(...[...versions.values()].map((v) => v?.number ?? 0)),
    });
  }

  /** The other daemons in random order, so that the cut-off ones do not all ask the same one. */
  #shufflePeers(): string[] {
    const random = this.#services.get(ServiceName.Random);
    return this.#services.get(ServiceName.KeySpace).peerAddresses()
      .map((address) => ({ address, rank: random.nextFraction() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ address }) => address);
  }
}
