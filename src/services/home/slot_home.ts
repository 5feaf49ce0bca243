/**
 * Dispatches requests to the backend servers homed here. Each server has one
 * task for each slot; a task takes the next request, runs it, and waits until
 * its answer has been consumed.
 */
import { err, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { BackendServerState, FencingMode } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type {
  AssignedServer,
  KeyLocation,
  RoutedRequest,
  RoutedResponse,
  ServiceAssignment,
} from "../../types/types.ts";
import { Home, type HomedServerStatus } from "./home.ts";

const grantRenewalIntervalMs = 300;
const grantDurationMs = 1_500;

/** Dispatches without a queue, as long as the permit is in force. */
export class SlotHome extends Home {
  readonly #stopping = new AbortController();
  #services: ServiceLookup | undefined;
  #granter: Promise<void> = Promise.resolve();

  override get needs(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Ownership,
      ServiceName.BackendTransport,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    this.#granter = this.#renewGrants(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return this.#granter;
  }

  override async dispatch(
    request: RoutedRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<Result<RoutedResponse, RouterError>> {
    const services = this.#services!;
    const ownership = services.get(ServiceName.Ownership);
    const located = ownership.locate(request.service, request.key);
    if (located.isErr()) return err(located.error);
    const location = located.value;
    const permit = ownership.tryGetPermit(location.server.serverId);
    if (permit === undefined) {
      return err(
        new RouterError(MessageCode.NotHome, "dispatch", {
          detail: location.server.serverId,
        }),
      );
    }
    const clock = services.get(ServiceName.Clock);
    const remainingMs = permit.expiresAtMs - clock.nowMs();
    const result = await services.get(ServiceName.BackendTransport).send(
      request,
      location,
      {
        signal: options.signal,
        startBeforeWallMs: Math.floor(clock.wallTimeMs() + remainingMs),
      },
    );
    this.#observe(location, result);
    return result;
  }

  override status(): readonly HomedServerStatus[] {
    return [];
  }

  #observe(
    location: KeyLocation,
    result: Result<RoutedResponse, RouterError>,
  ): void {
    if (result.isOk()) return;
    if (result.error.code !== MessageCode.BackendUnreachable) return;
    this.#services!.get(ServiceName.Ownership).observe({
      service: location.service,
      serverId: location.server.serverId,
      state: BackendServerState.Lost,
      completedCount: 0,
      queuedCount: 0,
      hotKeys: [],
    });
  }

  /** Renews the grants of the servers homed here until the service stops. */
  async #renewGrants(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    const ownership = services.get(ServiceName.Ownership);
    while (!this.#stopping.signal.aborted) {
      for (const definition of ownership.definitions()) {
        if (definition.fencingMode !== FencingMode.Checked) continue;
        const assignment = ownership.tryGetAssignment(definition.name);
        if (assignment !== undefined) await this.#grantAll(assignment);
      }
      await clock.sleep(grantRenewalIntervalMs, this.#stopping.signal);
    }
  }

  async #grantAll(assignment: ServiceAssignment): Promise<void> {
    const ownership = this.#services!.get(ServiceName.Ownership);
    for (const [index, server] of assignment.servers.entries()) {
      if (ownership.tryGetPermit(server.serverId) === undefined) continue;
      await this.#grantOne(assignment, { index, server });
    }
  }

  /** Grants the shards of one server, those of equal fence together. */
  async #grantOne(
    assignment: ServiceAssignment,
    { index, server }: {
      readonly index: number;
      readonly server: AssignedServer;
    },
  ): Promise<void> {
    const shardsByFence = new Map<number, number[]>();
    for (const [shard, owner] of assignment.shardServers.entries()) {
      if (owner !== index) continue;
      const fence = assignment.shardFences[shard] ?? 0;
      const shards = shardsByFence.get(fence) ?? [];
      shardsByFence.set(fence, [...shards, shard]);
    }
    for (const [fence, shards] of shardsByFence) {
      await this.#services!.get(ServiceName.BackendTransport).grant(
        server,
        {
          service: assignment.service,
          shards,
          keys: [],
          fence,
          grantDurationMs,
        },
        AbortSignal.timeout(grantDurationMs),
      );
    }
  }
}
