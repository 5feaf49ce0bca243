/**
 * The ownership service of a region with a coordinator. One daemon holds the
 * lease and commits the assignments. The other daemons receive the assignments
 * and their permits from their parent in the sync tree.
 */
import type { Stream } from "most";
import { err, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { OwnershipService } from "../../gen/skylarkridge/v1/ownership_pb.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { RouterError } from "../../types/errors.ts";
import type {
  KeyLocation,
  MoveRecord,
  ServerId,
  ServiceAssignment,
  ServiceDefinition,
} from "../../types/types.ts";
import { EventSource } from "../../streams/event_source.ts";
import { subscribe } from "../../streams/subscribe.ts";
import { type ControlOptions, drainTimeoutMs } from "./control_options.ts";
import { ControlState } from "./control_state.ts";
import { computeShard } from "../../hashing/key_hash.ts";
import { LeaseStore } from "./lease_store.ts";
import { LeaseTask } from "./lease_task.ts";
import {
  type CoordinatorStatus,
  type HomePermit,
  type InFlightSource,
  Ownership,
  type ServerObservation,
} from "./ownership.ts";
import { isUrgentState } from "./server_states.ts";
import {
  decodeDaemon,
  decodeSyncReport,
  encodeSyncAnswer,
} from "./sync_codec.ts";
import { answerPromise, answerSync } from "./sync_handler.ts";
import { runSyncTask } from "./sync_task.ts";

const drainCheckIntervalMs = 50;

/** Runs the sync and lease tasks and answers lookups from their state. */
export class CoordinatedOwnership extends Ownership {
  readonly #options: ControlOptions;
  readonly #changes = new EventSource<ServiceAssignment>();
  readonly #stopping = new AbortController();
  readonly #tasks: Promise<void>[] = [];
  #state: ControlState | undefined;
  #unsubscribe: () => void = () => {};
  #inFlightSource: InFlightSource | undefined;
  override readonly changes: Stream<ServiceAssignment> = this.#changes.stream;

  constructor(options: ControlOptions) {
    super();
    this.#options = options;
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.KeyHasher,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.Membership,
      ServiceName.PlatformTable,
      ServiceName.VmDirectory,
      ServiceName.PeerServer,
      ServiceName.PeerTransport,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    const hash = services.get(ServiceName.KeyHasher).hashFunction();
    const state = new ControlState(services, { options: this.#options, hash });
    state.inFlightSource = this.#inFlightSource;
    this.#state = state;
    this.#unsubscribe = subscribe(state.assignments.changes, (assignment) => {
      this.#changes.publish(assignment);
    });
    registerHandlers(services, state);
    const store = new LeaseStore(state);
    const { signal } = this.#stopping;
    this.#tasks.push(
      runSyncTask(state, store, signal),
      new LeaseTask(state, store).run(signal),
    );
    return Promise.resolve();
  }

  /** Waits, for a limited time, until the servers homed here have new homes. */
  override async drain(): Promise<void> {
    const state = this.#state;
    if (state === undefined) return;
    state.membership.beginDraining();
    state.syncSignal.notify();
    const drainDeadlineAtMs = state.clock.nowMs() + drainTimeoutMs;
    while (state.clock.nowMs() < drainDeadlineAtMs && !isDrained(state)) {
      await state.clock.sleep(drainCheckIntervalMs);
    }
  }

  override async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks);
    this.#unsubscribe();
  }

  override definitions(): readonly ServiceDefinition[] {
    return this.#options.definitions;
  }

  override tryGetDefinition(service: string): ServiceDefinition | undefined {
    return this.#options.definitions.find(({ name }) => name === service);
  }

  override locate(
    service: string,
    key: string,
  ): Result<KeyLocation, RouterError> {
    const definition = this.tryGetDefinition(service);
    const state = this.#state;
    if (definition === undefined || state === undefined) {
      return err(
        new RouterError(MessageCode.NoOwner, "locate", {
          detail: `service ${service} is not configured here`,
        }),
      );
    }
    const shard = computeShard(state.hash, key, definition);
    return state.assignments.locate(service, { key, shard });
  }

  override tryGetAssignment(service: string): ServiceAssignment | undefined {
    return this.#state?.assignments.tryGet(service);
  }

  override waitForNewer(
    service: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    const assignments = this.#state?.assignments;
    return assignments?.waitForNewer(service, version, signal) ??
      Promise.resolve();
  }

  override requestRefresh(_service: string): void {
    this.#state?.syncSignal.notify();
  }

  override tryGetPermit(serverId: ServerId): HomePermit | undefined {
    const state = this.#state;
    const server = state?.assignments.tryGetServer(serverId);
    if (state === undefined || server === undefined) return undefined;
    if (server.homeDaemonId !== state.selfId()) return undefined;
    const expiresAtMs = state.permitExpiresAtMs();
    if (state.clock.nowMs() >= expiresAtMs) return undefined;
    return { serverId, homeFence: server.homeFence, expiresAtMs };
  }

  override setInFlightSource(source: InFlightSource): void {
    this.#inFlightSource = source;
    if (this.#state !== undefined) this.#state.inFlightSource = source;
  }

  override reportObservation(observation: ServerObservation): void {
    const state = this.#state;
    if (state === undefined) return;
    state.relay.observe({ observerId: state.selfId(), observation });
    const assigned = state.assignments.tryGetServer(observation.serverId);
    if (!isUrgentState(observation.state)) return;
    if (assigned?.state === observation.state) return;
    state.syncSignal.notify();
    state.decisionSignal.notify();
  }

  override coordinator(): CoordinatorStatus | undefined {
    const state = this.#state;
    const view = state?.follower.view();
    if (state === undefined || view === undefined) return undefined;
    if (view.epoch === 0) return undefined;
    const remainingMs = state.permitExpiresAtMs() - state.clock.nowMs();
    return {
      daemonId: view.holderId,
      epoch: view.epoch,
      permitRemainingMs: Math.max(0, remainingMs),
    };
  }

  override recentMoves(): readonly MoveRecord[] {
    return this.#state?.assignments.moves() ?? [];
  }
}

function registerHandlers(services: ServiceLookup, state: ControlState): void {
  services.get(ServiceName.PeerServer).addConnectService(OwnershipService, {
    sync: (request) => {
      const report = decodeSyncReport(
        request,
        (membersVersion) => state.follower.tryGetMembers(membersVersion),
      );
      return encodeSyncAnswer(answerSync(state, report));
    },
    promiseEpoch: ({ candidate, epoch }) => {
      const answer = answerPromise(state, {
        candidate: decodeDaemon(candidate),
        epoch: Number(epoch),
      });
      return { ...answer, epoch: BigInt(answer.epoch) };
    },
  });
}

/**
 * Whether this daemon can stop without an interruption: it is the home of no
 * server, has no release to confirm and is not the coordinator, or no other
 * daemon could take over.
 */
function isDrained(state: ControlState): boolean {
  const selfId = state.selfId();
  const isAlone = state.membership.daemons().every((daemon) =>
    daemon.daemonId === selfId || daemon.isDraining
  );
  if (isAlone) return true;
  const isHome = state.assignments.rows().some((row) =>
    row.servers.some(({ homeDaemonId }) => homeDaemonId === selfId) ||
    row.pendingReleases.some(({ daemonId }) => daemonId === selfId)
  );
  return !isHome && state.tryGetCoordinator() === undefined;
}
