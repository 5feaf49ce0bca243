/**
 * The table of attempts that this home has sent and that are not finished. The
 * ownership service queries it to find out when no attempt that an assignment
 * forbids is in flight any more.
 */
import type { Clock } from "../../host/clock.ts";
import { AbortCause, type DeadlineSignal } from "../../host/deadline_signal.ts";
import type {
  DaemonId,
  KeyLocation,
  ServiceAssignment,
} from "../../types/types.ts";
import { InFlightSource } from "../ownership/ownership.ts";
import { isSendAllowed } from "./assignment_rules.ts";

/** One attempt, from its send to the end of its answer. */
export interface InFlightAttempt {
  readonly location: KeyLocation;
  readonly key: string;
  /**
   * Local instant after which the backend server does not start the request.
   */
  readonly startBeforeAtMs: number;
  readonly isIdempotent: boolean;
  readonly abort: DeadlineSignal;
  /**
   * Whether the head of the answer has arrived, which shows that the request
   * has run.
   */
  hasAnswer: boolean;
  /** Whether the attempt failed in a way that excludes a later start. */
  isOutcomeKnown: boolean;
}

/** All in-flight attempts of one daemon. */
export class InFlightTable extends InFlightSource {
  readonly #clock: Clock;
  readonly #getDaemonId: () => DaemonId;
  readonly #attempts = new Set<InFlightAttempt>();
  /**
   * Attempts aborted without an answer; a suspended server may still start them.
   */
  readonly #abandonedAttempts = new Set<InFlightAttempt>();
  readonly #newestAssignments = new Map<string, ServiceAssignment>();

  constructor(clock: Clock, getDaemonId: () => DaemonId) {
    super();
    this.#clock = clock;
    this.#getDaemonId = getDaemonId;
  }

  get size(): number {
    return this.#attempts.size;
  }

  /** Adds an attempt before it is sent. */
  add(attempt: InFlightAttempt): void {
    this.#attempts.add(attempt);
  }

  /**
   * Removes an attempt that was answered, refused or aborted. An attempt that
   * the server may still start counts as in flight until `startBeforeAtMs`.
   */
  remove(attempt: InFlightAttempt): void {
    this.#attempts.delete(attempt);
    if (attempt.hasAnswer || attempt.isOutcomeKnown) return;
    const remainingMs = attempt.startBeforeAtMs - this.#clock.nowMs();
    if (remainingMs < 0) return;
    this.#abandonedAttempts.add(attempt);
    this.#clock.after(
      remainingMs,
      () => this.#abandonedAttempts.delete(attempt),
    );
  }

  /** Whether the newest assignment received allows a send to `location`. */
  isSendAllowed(location: KeyLocation, key: string): boolean {
    const newest = this.#newestAssignments.get(location.service);
    return newest === undefined ||
      this.#isSendAllowedBy(newest, { location, key });
  }

  /**
   * Records an assignment. An attempt that it forbids may still finish; without
   * an answer at `startBeforeAtMs` the attempt is aborted with an unknown
   * outcome.
   */
  noteAssignment(assignment: ServiceAssignment): void {
    const known = this.#newestAssignments.get(assignment.service);
    if (known !== undefined && known.version >= assignment.version) return;
    this.#newestAssignments.set(assignment.service, assignment);
    for (const attempt of this.#findForbidden(this.#attempts, assignment)) {
      const remainingMs = attempt.startBeforeAtMs - this.#clock.nowMs();
      this.#clock.after(remainingMs, () => {
        if (!attempt.hasAnswer) attempt.abort.abort(AbortCause.Moved);
      });
    }
  }

  /**
   * Aborts the idempotent attempts on a lost server, so that they can run on
   * another server.
   */
  abortIdempotentAttempts(serverId: string): void {
    for (const attempt of [...this.#attempts]) {
      if (attempt.location.server.serverId !== serverId) continue;
      if (!attempt.isIdempotent || attempt.hasAnswer) continue;
      attempt.abort.abort(AbortCause.Moved);
    }
  }

  override isReleased(assignment: ServiceAssignment): boolean {
    this.noteAssignment(assignment);
    const nowMs = this.#clock.nowMs();
    const forbidden = [
      ...this.#findForbidden(this.#attempts, assignment),
      ...this.#findForbidden(this.#abandonedAttempts, assignment),
    ];
    return forbidden.every((attempt) =>
      (attempt.hasAnswer || this.#abandonedAttempts.has(attempt)) &&
      nowMs > attempt.startBeforeAtMs
    );
  }

  #findForbidden(
    attempts: ReadonlySet<InFlightAttempt>,
    assignment: ServiceAssignment,
  ): InFlightAttempt[] {
    return [...attempts].filter((attempt) =>
      attempt.location.service === assignment.service &&
      !this.#isSendAllowedBy(assignment, attempt)
    );
  }

  #isSendAllowedBy(
    assignment: ServiceAssignment,
    target: { readonly location: KeyLocation; readonly key: string },
  ): boolean {
    const daemonId = this.#getDaemonId();
    return isSendAllowed(assignment, { ...target, daemonId });
  }
}
