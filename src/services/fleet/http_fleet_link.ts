/**
 * The fleet link over HTTP. One task long-polls the key granter with sync
 * requests; the granter answers as soon as a table has changed. A daemon that
 * cannot reach the granter, or whose granter cannot reach the store, reads the
 * store itself; if the store does not answer it either, it asks other daemons.
 */
import { createServer, type Server } from "node:http";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { listen } from "../../host/listen.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { GranterRecord } from "../keyspace/fleet_rows.ts";
import { FleetCallError, FleetCalls, FleetPath } from "./fleet_calls.ts";
import { FleetLink } from "./fleet_link.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { decodeSyncAnswer, encodeSyncRequest, isOfEra } from "./sync_codec.ts";
import { statusStale, SyncResponder } from "./sync_responder.ts";
import { createStopController } from "../../streams/stop_controller.ts";

/** Longest time for which the granter waits for a change before it answers. */
const syncWaitMs = 600;
/** Timeout of a sync request; when the granter hangs, a configuration change may arrive late by this time. */
const syncTimeoutMs = 1_100;
/** Delay before the retry of a failed sync request. */
const syncRetryDelayMs = 400;
/** Shortest pause between two sync requests; changes within it are sent together. */
const coalesceMs = 20;
/** Limit for the whole fleet; each sync request costs the granter one to two milliseconds. */
const maxSyncsPerSecond = 300;
const msPerSecond = 1_000;
/** Consecutive failures after which the granter is suspected to be down. */
const failureCountUntilSuspected = 2;

/** Exchanges load reports and table changes with the key granter over HTTP. */
export class HttpFleetLink extends FleetLink {
  readonly #listenOptions: { readonly host: string; readonly port: number };
  readonly #stopping = createStopController();
  readonly #calls = new FleetCalls();
  #server: Server | undefined;
  #failureCount = 0;
  /** Whether the last sync request was answered. */
  #wasLastSyncAnswered = false;
  /** The key granter's term to which `#capacityVersion` belongs. */
  #capacityTerm: number | undefined;
  /** The newest version of its estimates of capacities that this daemon has. */
  #capacityVersion = 0;
  #tasks: Promise<unknown> = Promise.resolve();

  constructor(options: { readonly host: string; readonly port: number }) {
    super();
    this.#listenOptions = options;
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.RowStore,
      ServiceName.TableFeed,
      ServiceName.Directory,
      ServiceName.KeySpace,
      ServiceName.KeyGranter,
      ServiceName.LoadReports,
      ServiceName.Capacities,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    const responder = new SyncResponder(services, this.#stopping.signal);
    const server = createServer((request, response) => {
      void (request.url === FleetPath.Copies
        ? responder.answerCopies(request, response)
        : responder.answerSync(request, response));
    });
    this.#server = server;
    const exchange = new PeerExchange(services, {
      calls: this.#calls,
      signal: this.#stopping.signal,
    });
    this.#tasks = Promise.all([this.#run(services), exchange.run()]);
    return listen(server, this.#listenOptions);
  }

  override async stop(): Promise<void> {
    this.#stopping.abort();
    this.#calls.close();
    this.#server?.close();
    this.#server?.closeAllConnections();
    await this.#tasks;
  }

  async #run(services: ServiceLookup): Promise<void> {
    const { signal } = this.#stopping;
    const clock = services.get(ServiceName.Clock);
    const feed = services.get(ServiceName.TableFeed);
    const granter = services.get(ServiceName.KeyGranter);
    const keySpace = services.get(ServiceName.KeySpace);
    while (!signal.aborted) {
      const granterRecord = keySpace.granter();
      const daemonCount = keySpace.daemonCount();
      feed.setReaderCount(daemonCount);
      if (granter.isActive() || granterRecord === undefined) {
        granter.addLoad(services.get(ServiceName.LoadReports).takeReport());
        if (granter.isActive() && granterRecord !== undefined) {
          services.get(ServiceName.Capacities).poolOwn(granterRecord.term);
          this.#capacityTerm = undefined;
        }
        this.#failureCount = 0;
        await keySpace.changed.waitAtMost(clock, {
          durationMs: syncRetryDelayMs,
          seenCount: keySpace.changed.notifyCount,
          signal,
        });
        continue;
      }
      const failure = await this.#sync(services, granterRecord);
      if (signal.aborted) return;
      if (failure === undefined) {
        this.#failureCount = 0;
        feed.setRelayProbesStore(false);
        feed.setUsesRelay(true);
        this.#wasLastSyncAnswered = true;
        const spacingMs = msPerSecond * daemonCount / maxSyncsPerSecond;
        await clock.sleep(Math.max(coalesceMs, spacingMs), signal);
        continue;
      }
      feed.setRelayProbesStore(failure.status === statusStale);
      feed.setUsesRelay(false);
      this.#wasLastSyncAnswered = false;
      if (keySpace.granter()?.address !== granterRecord.address) continue;
      this.#handleFailure(services, {
        peer: granterRecord.address,
        failure: failure.message,
      });
      await clock.sleep(syncRetryDelayMs, signal);
    }
  }

  /** Sends one sync request; resolves with the error if it failed. */
  async #sync(
    services: ServiceLookup,
    { address, term }: GranterRecord,
  ): Promise<FleetCallError | undefined> {
    const feed = services.get(ServiceName.TableFeed);
    const directory = services.get(ServiceName.Directory);
    const capacities = services.get(ServiceName.Capacities);
    if (this.#capacityTerm !== term) this.#capacityVersion = 0;
    this.#capacityTerm = term;
    const controller = createStopController();
    void this.#abortWhenReplaced(services, { address, controller });
    try {
      const bytes = await this.#calls.post({
        address,
        path: FleetPath.Sync,
        timeoutMs: syncTimeoutMs,
        signals: [this.#stopping.signal, controller.signal],
        body: encodeSyncRequest({
          versions: feed.versions(),
          load: services.get(ServiceName.LoadReports).takeReport(),
          capacityReport: capacities.takeReport(),
          capacityVersion: this.#capacityVersion,
          leavingIncarnations: directory.leavingIncarnations(),
          // After a failure, the granter answers without a wait, so that this
          // daemon immediately receives the changes that it has missed.
          waitMs: this.#wasLastSyncAnswered ? syncWaitMs : 0,
        }),
      });
      const { eras } = services.get(ServiceName.RowStore);
      const answer = decodeSyncAnswer(bytes, eras.current);
      feed.applyRelayed(answer.updates);
      if (isOfEra(answer, eras.current) && answer.isDirectoryComplete) {
        directory.markComplete();
      }
      if (answer.capacityUpdate !== undefined) {
        this.#capacityVersion = answer.capacityUpdate.version;
        capacities.applyPooled(answer.capacityUpdate.capacities, term);
      }
      for (const incarnation of answer.leavingIncarnations) {
        directory.noteLeaving(incarnation);
      }
    } catch (error) {
      return error instanceof FleetCallError
        ? error
        : new FleetCallError((error as Error).message);
    } finally {
      controller.abort();
    }
  }

  /** Aborts a sync request when another daemon becomes the granter. */
  async #abortWhenReplaced(
    services: ServiceLookup,
    { address, controller }: {
      readonly address: string;
      readonly controller: AbortController;
    },
  ): Promise<void> {
    const keySpace = services.get(ServiceName.KeySpace);
    while (!controller.signal.aborted) {
      await keySpace.changed.wait(controller.signal);
      if (keySpace.granter()?.address !== address) controller.abort();
    }
  }

  #handleFailure(
    services: ServiceLookup,
    { peer, failure }: { readonly peer: string; readonly failure: string },
  ): void {
    this.#failureCount += 1;
    if (this.#failureCount === 1) {
      services.get(ServiceName.Log)
        .write(LogEvent.KeyGranterUnreachable, { peer, error: failure });
    }
    if (this.#failureCount >= failureCountUntilSuspected) {
      services.get(ServiceName.KeyGranter).suspectLeaseHolder();
    }
  }
}
