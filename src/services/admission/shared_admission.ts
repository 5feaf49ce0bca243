/**
 * Admits requests within their customer's fleet-wide allowance. Looks up the
 * limits in the lists in force; an `AllowanceSharing` charges the windows.
 */
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { RouterError } from "../../types/errors.ts";
import type { RoutedRequest } from "../../types/types.ts";
import { ListName } from "../../types/enums.ts";
import { CounterName } from "../metrics/metrics.ts";
import {
  type AccountLimits,
  formatAccountName,
  formatLimitName,
  tryFindLimits,
} from "./account.ts";
import {
  Admission,
  type AdmissionTicket,
  type LimitStatus,
} from "./admission.ts";
import type { AllowanceSharing } from "./allowance_sharing.ts";
import { computeEqualShare } from "./entry_account.ts";
import type { LimitRefusal } from "./limit_refusal.ts";

const step = "admit request";

/** Admits requests according to the lists in force. */
export class SharedAdmission extends Admission {
  readonly #sharing: AllowanceSharing;
  #services: ServiceLookup | undefined;

  constructor(sharing: AllowanceSharing) {
    super();
    this.#sharing = sharing;
  }

  override get dependencies(): readonly ServiceName[] {
    return [
      ServiceName.Clock,
      ServiceName.KeyHasher,
      ServiceName.Metrics,
      ServiceName.Lists,
      ServiceName.Membership,
      ServiceName.PeerServer,
      ServiceName.PeerTransport,
    ];
  }

  override async start(services: ServiceLookup): Promise<void> {
    this.#services = services;
    await this.#sharing.start(services);
  }

  override stop(): Promise<void> {
    return this.#sharing.stop();
  }

  override async admit(
    request: RoutedRequest,
    signal: AbortSignal,
  ): Promise<Result<AdmissionTicket, RouterError>> {
    const limitsResult = this.#findLimits(request);
    if (limitsResult.isErr()) return err(limitsResult.error);
    const limits = limitsResult.value;
    const refusal = await this.#sharing.charge(limits, signal);
    if (refusal !== undefined) {
      return err(this.#createRefusal(limits, refusal));
    }
    return ok(this.#createTicket(limits));
  }

  override status(): readonly LimitStatus[] {
    const nowMs = this.#services!.get(ServiceName.Clock).nowMs();
    const daemonCount = this.#sharing.daemonCount();
    return this.#sharing.accounts().flatMap((account) =>
      (account.limits.windows ?? []).map((window): LimitStatus => {
        const usedCount = account.usedCount(window.kind, nowMs);
        const leasedCount = usedCount + account.heldCount();
        return {
          limitName: formatLimitName(account.limits, window),
          ...account.key,
          windowKind: window.kind,
          allowedCount: window.count,
          localCount: Math.max(
            leasedCount,
            computeEqualShare(window, daemonCount),
          ),
          usedCount,
        };
      })
    );
  }

  #findLimits(request: RoutedRequest): Result<AccountLimits, RouterError> {
    const lists = this.#services!.get(ServiceName.Lists).current();
    if (lists === undefined) {
      return err(new RouterError(MessageCode.ListsMissing, step));
    }
    const { customer, requestClass } = request;
    const limits = tryFindLimits(lists, { customer, requestClass });
    if (limits === undefined) {
      const detail = customer;
      return err(
        new RouterError(MessageCode.CustomerUnknown, step, { detail }),
      );
    }
    if (limits.windows === undefined) {
      return err(this.#createClassRefusal(limits));
    }
    return ok(limits);
  }

  #createTicket(limits: AccountLimits): AdmissionTicket {
    let isRefunded = false;
    return {
      planRank: limits.planRank,
      refund: () => {
        if (isRefunded) return;
        isRefunded = true;
        this.#sharing.refund(limits);
      },
    };
  }

  #createRefusal(limits: AccountLimits, refusal: LimitRefusal): RouterError {
    this.#countRefusal(limits);
    const window = limits.windows!
      .find(({ kind }) => kind === refusal.windowKind)!;
    const limitName = formatLimitName(limits, window);
    return new RouterError(MessageCode.LimitExceeded, step, {
      detail: limitName,
      limitName,
      retryAfterMs: Math.ceil(refusal.retryAfterMs),
    });
  }

  /** Omits `retryAfterMs`, since a retry fails until the lists change. */
  #createClassRefusal(limits: AccountLimits): RouterError {
    this.#countRefusal(limits);
    const limitName = `${formatAccountName(limits.key)} (plan ${limits.plan} ` +
      `has no allowance for the class in ${ListName.Allowances})`;
    return new RouterError(MessageCode.LimitExceeded, step, {
      detail: limitName,
      limitName,
    });
  }

  #countRefusal(limits: AccountLimits): void {
    this.#services!.get(ServiceName.Metrics)
      .count(CounterName.LimitRefusals, limits.key.requestClass);
  }
}
