/**
 * The contract of the lists service, which holds the two lists that operators
 * edit: the plans of the customers and the allowances of the plans.
 */
import type { Stream } from "most";
import type { Result } from "neverthrow";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ListsFreshness } from "../../types/enums.ts";
import type { RouterError } from "../../types/errors.ts";
import type { AcceptedLists } from "../../types/types.ts";

/** The texts of both lists, as an operator submitted them. */
export interface ListTexts {
  readonly plansText: string;
  readonly allowancesText: string;
}

/** Describes one accepted change. */
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

  /** Returns the lists in force; undefined until there are any. Their version never decreases. */
  abstract current(): AcceptedLists | undefined;

  /** Returns how up to date the lists in force are. A daemon is not ready while they are missing. */
  abstract freshness(): ListsFreshness;

  /** Returns the change that produced the lists in force; undefined until there are any. */
  abstract currentRevision(): ListsRevision | undefined;

  /** Returns the texts of the lists in force; undefined until there are any. */
  abstract currentTexts(): ListTexts | undefined;

  /**
   * Checks both lists and commits them if `baseVersion` is still in force.
   * Fails with `ListInvalid` or `ListConflict`, or with outcome `Unknown` if
   * the platform did not report in time whether the commit took effect. A
   * second call with the same texts is safe: they are not accepted twice.
   */
  abstract apply(
    texts: ListTexts,
    options: { readonly baseVersion: number; readonly author: string },
  ): Promise<Result<AcceptedLists, RouterError>>;

  /** Returns the most recent accepted changes, newest first. */
  abstract revisions(): Promise<Result<readonly ListsRevision[], RouterError>>;

  /** Emits each version when it comes into force on this daemon. */
  abstract readonly changes: Stream<AcceptedLists>;
}
