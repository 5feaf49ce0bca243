/** The contract of the directory, which lists the registered backend servers. */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ChangeSignal } from "../../streams/change_signal.ts";
import type { ServerEntry } from "../../types/routing.ts";

/** Provides the registered backend servers. */
export abstract class Directory extends Service {
  override readonly name = ServiceName.Directory;

  /** Notified after each change. */
  abstract readonly changed: ChangeSignal;

  /** Whether the registered servers have been read since the start. */
  abstract isLoaded(): boolean;

  /**
   * Whether a server that is not registered has certainly stopped. False for a
   * short time after an outage of the store, in which running servers register
   * again.
   */
  abstract isComplete(): boolean;

  /** Marks the directory as complete, because another daemon with an equally recent copy reports that its directory is complete. */
  abstract markComplete(): void;

  /**
   * Keeps missing servers for a while, unless the directory is incomplete
   * already, because the copy that lacks them may be recent after an outage of
   * the store.
   */
  abstract expectReregistrations(): void;

  /** The servers of a service that accept new requests; none is in an evacuated data centre. */
  abstract usableServers(service: string): readonly ServerEntry[];

  /** The servers of a service that would accept new requests if their data centres were not evacuated. */
  abstract evacuatedServers(service: string): readonly ServerEntry[];

  /** The current incarnation of a server, which may be draining. */
  abstract tryGet(id: string): ServerEntry | undefined;

  /**
   * Records that an incarnation announced that it is about to stop. It counts
   * as draining from then on, whatever its entry says.
   */
  abstract noteLeaving(incarnation: string): void;

  /** The registered incarnations that announced that they are about to stop. */
  abstract leavingIncarnations(): readonly string[];
}
