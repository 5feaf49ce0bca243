/** The contract of the lists service: the two lists that operators edit. */
import type { Stream } from "most";
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ListsFreshness } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { AcceptedLists } from "../../types/types.ts";

/** The texts of both lists, as an operator wrote them. */
export interface ListTexts {
  readonly plansText: string;
  readonly allowancesText: string;
}

/** One accepted change. */
export interface ListsRevision {
  readonly version: number;
  readonly author: string;
  readonly wallTimeMs: number;
  readonly writeId: string;
  /** SHA-256 of both texts, in hexadecimal. */
  readonly contentHash: string;
}

/** Holds the lists in force and accepts changes to them. */
export abstract class Lists extends Service {
  override readonly name = ServiceName.Lists;

  /** The lists in force; undefined before the first. Never goes back. */
  abstract current(): AcceptedLists | undefined;

  /**
   * How current the lists in force are. A daemon is not ready while they are
   * missing.
   */
  abstract freshness(): ListsFreshness;

  /** The accepted change in force; undefined before the first. */
  abstract currentRevision(): ListsRevision | undefined;

  /** The texts of the version in force; undefined before the first. */
  abstract currentTexts(): ListTexts | undefined;

  /**
   * Checks both lists and commits them if `baseVersion` is still in force.
   * Fails with `ListInvalid` or `ListConflict`; with outcome `Unknown` when
   * the platform did not tell in time whether it took effect. Repeating the
   * same texts is safe: they are never accepted twice.
   */
  abstract apply(
    texts: ListTexts,
    options: { readonly baseVersion: number; readonly author: string },
  ): Promise<Result<AcceptedLists, RouterError>>;

  /** Accepted changes, newest first. */
  abstract revisions(): Promise<Result<readonly ListsRevision[], RouterError>>;

  /** Each version as it takes effect here. */
  abstract readonly changes: Stream<AcceptedLists>;
}
