/**
 * Keeps the lists in force up to date. One row of the platform's table names
 * the version in force. A daemon reads the row after an announcement, and
 * `RefreshSchedule` schedules further reads. While the platform is unavailable,
 * a daemon without lists, or with older ones than announced, fetches a copy
 * from its peers. The lists in force are only replaced by a higher version.
 */
import { err, ok, type Result } from "neverthrow";
import { LogEvent } from "../../diagnostics/log_events.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { EventSource } from "../../streams/event_source.ts";
import { subscribe } from "../../streams/subscribe.ts";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { ListsFreshness } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { AcceptedLists } from "../../types/types.ts";
import { AnnouncementTopic } from "../membership/membership.ts";
import { CounterName } from "../metrics/metrics.ts";
import { applyLists } from "./apply_lists.ts";
import { fetchNewestLists, registerListsService } from "./connect_lists.ts";
import { Lists, type ListsRevision, type ListTexts } from "./lists.ts";
import {
  decodeRecord,
  listRevisions,
  listsRowKey,
  objectNameOf,
  tryDecodeTexts,
} from "./lists_codec.ts";
import { parseLists } from "./parse_lists.ts";
import { RefreshSchedule } from "./refresh_schedule.ts";

/** The texts of the lists, with the revision that they belong to. */
export interface HeldLists {
  readonly revision: ListsRevision;
  readonly texts: ListTexts;
}

/** Lists that are stored in the platform's table and object store. */
export class StoredLists extends Lists {
  readonly #changes = new EventSource<AcceptedLists>();
  readonly #stopping = new AbortController();
  readonly #wakeup = new ChangeSignal();
  #services: ServiceLookup | undefined;
  #held: (HeldLists & { readonly accepted: AcceptedLists }) | undefined;
  #isConfirmed = false;
  #announcedVersion = 0;
  #unsubscribe: () => void = () => {};
  #refreshTask: Promise<void> = Promise.resolve();
  override readonly changes = this.#changes.stream;

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Log,
      ServiceName.Metrics,
      ServiceName.PlatformTable,
      ServiceName.ObjectStore,
      ServiceName.Membership,
      ServiceName.PeerServer,
      ServiceName.PeerTransport,
    ];
  }

  override start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    registerListsService(services, this);
    this.#unsubscribe = subscribe(
      services.get(ServiceName.Membership).announcements,
      ({ topic, version }) => {
        if (topic !== AnnouncementTopic.Lists) return;
        if (version <= this.#heldVersion()) return;
        this.#announcedVersion = Math.max(this.#announcedVersion, version);
        this.#wakeup.notify();
      },
    );
    this.#refreshTask = this.#refreshUntilStopped(services);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#unsubscribe();
    this.#stopping.abort();
    return this.#refreshTask;
  }

  override current(): AcceptedLists | undefined {
    return this.#held?.accepted;
  }

  override currentRevision(): ListsRevision | undefined {
    return this.#held?.revision;
  }

  override currentTexts(): ListTexts | undefined {
    return this.#held?.texts;
  }

  override freshness(): ListsFreshness {
    if (this.#held === undefined) return ListsFreshness.Missing;
    return this.#isConfirmed
      ? ListsFreshness.Confirmed
      : ListsFreshness.PossiblyStale;
  }

  override async apply(
    texts: ListTexts,
    options: { readonly baseVersion: number; readonly author: string },
  ): Promise<Result<AcceptedLists, RouterError>> {
    const services = this.#services!;
    const metrics = services.get(ServiceName.Metrics);
    const applied = await applyLists(services, {
      texts,
      ...options,
      heldVersion: this.#heldVersion(),
    });
    if (applied.isErr()) {
      metrics.count(CounterName.ListsRefused, applied.error.code);
      return err(applied.error);
    }
    metrics.count(CounterName.ListsAccepted);
    const revision = applied.value.current;
    this.#putInForce({ revision, texts });
    this.#isConfirmed = true;
    const contents = parseLists(texts).contents!;
    return ok({ version: revision.version, ...contents });
  }

  override async revisions(): Promise<
    Result<readonly ListsRevision[], RouterError>
  > {
    const row = await this.#services!.get(ServiceName.PlatformTable)
      .read(listsRowKey);
    return row.map((found) =>
      found === undefined ? [] : listRevisions(decodeRecord(found.value))
    );
  }

  async #refreshUntilStopped(services: ServiceLookup): Promise<void> {
    const clock = services.get(ServiceName.Clock);
    const schedule = new RefreshSchedule(services);
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      if (this.#isBehind() || schedule.isReadDue()) {
        schedule.recordRead(await this.#tryRefresh(services));
      }
      await this.#wakeup.sleep(clock, {
        durationMs: schedule.nextDelayMs(),
        signal,
      });
      if (!this.#isBehind()) continue;
      await clock.sleep(schedule.announcedDelayMs(), signal);
    }
  }

  /** Whether a version higher than the one in force was announced. */
  #isBehind(): boolean {
    return this.#announcedVersion > this.#heldVersion();
  }

  /**
   * Reads the row and puts its version in force if it is higher. Returns
   * whether the platform provided the row and the texts that were needed. A
   * malformed row does not change the lists in force.
   */
  async #tryRefresh(services: ServiceLookup): Promise<boolean> {
    try {
      return await this.#refresh(services);
    } catch {
      services.get(ServiceName.Metrics)
        .count(CounterName.PlatformErrors, "lists");
      return false;
    }
  }

  async #refresh(services: ServiceLookup): Promise<boolean> {
    const row = await services.get(ServiceName.PlatformTable)
      .read(listsRowKey);
    if (row.isErr()) {
      await this.#refreshFromPeers(services);
      return false;
    }
    if (row.value === undefined) return true;
    const { current } = decodeRecord(row.value.value);
    if (current.version < this.#heldVersion()) {
      services.get(ServiceName.Metrics).count(CounterName.ListsStaleIgnored);
      return true;
    }
    if (current.version > this.#heldVersion()) {
      const texts = await this.#tryReadTexts(services, current);
      if (texts === undefined) {
        await this.#refreshFromPeers(services);
        return false;
      }
      this.#putInForce({ revision: current, texts });
    }
    this.#isConfirmed = true;
    return true;
  }

  async #tryReadTexts(
    services: ServiceLookup,
    revision: ListsRevision,
  ): Promise<ListTexts | undefined> {
    const content = await services.get(ServiceName.ObjectStore)
      .getObject(objectNameOf(revision));
    if (content.isErr() || content.value === undefined) return undefined;
    return tryDecodeTexts(content.value, revision.contentHash);
  }

  /** Fetches the lists from peers if this daemon has none, or if a newer version was announced. */
  async #refreshFromPeers(services: ServiceLookup): Promise<void> {
    if (this.#held !== undefined && !this.#isBehind()) return;
    const newest = await fetchNewestLists(services);
    if (newest === undefined) return;
    services.get(ServiceName.Metrics).count(CounterName.ListsFetchedFromPeer);
    this.#putInForce(newest);
  }

  /** Replaces the lists in force if the version is higher; no other method replaces them. */
  #putInForce({ revision, texts }: HeldLists): void {
    if (revision.version <= this.#heldVersion()) return;
    const services = this.#services!;
    const log = services.get(ServiceName.Log);
    const { version } = revision;
    const { contents } = parseLists(texts);
    if (contents === undefined) {
      log.write(LogEvent.AcceptedListsUnreadable, { version });
      return;
    }
    const accepted = { version, ...contents };
    this.#held = { revision, texts, accepted };
    log.write(LogEvent.ListsInForce, { version, author: revision.author });
    this.#changes.publish(accepted);
    services.get(ServiceName.Membership)
      .announce({ topic: AnnouncementTopic.Lists, version });
  }

  #heldVersion(): number {
    return this.#held?.revision.version ?? 0;
  }
}
