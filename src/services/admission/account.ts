/** An account counts the requests of one customer in one request class. */
import type { RequestClass } from "../../types/enums.ts";
import type { AcceptedLists, AllowanceWindow } from "../../types/types.ts";
import { ListName } from "../../types/enums.ts";

export interface AccountKey {
  readonly customer: string;
  readonly requestClass: RequestClass;
}

/** The limits of an account according to the lists in force. */
export interface AccountLimits {
  readonly key: AccountKey;
  readonly plan: string;
  /** Order of shedding under overload: the highest rank is shed last. */
  readonly planRank: number;
  /** Undefined when the plan has no allowance for the class. */
  readonly windows: readonly AllowanceWindow[] | undefined;
}

/** Formats the name of an account, which is unique, e.g. `farms/archive`. */
export function formatAccountName(
  { customer, requestClass }: AccountKey,
): string {
  return `${customer}/${requestClass}`;
}

/** Returns the limits of an account; undefined for an unknown customer. */
export function tryFindLimits(
  lists: AcceptedLists,
  key: AccountKey,
): AccountLimits | undefined {
  if (!Object.hasOwn(lists.planByCustomer, key.customer)) return undefined;
  const plan = lists.plans[lists.planByCustomer[key.customer]!];
  if (plan === undefined) return undefined;
  return {
    key,
    plan: plan.name,
    planRank: plan.rank,
    windows: plan.allowances[key.requestClass],
  };
}

/**
 * Formats the name of a limit, e.g.
 * `farms/archive/burst (plan audit, allowances.yaml:12)`.
 */
export function formatLimitName(
  limits: AccountLimits,
  window: AllowanceWindow,
): string {
  return `${formatAccountName(limits.key)}/${window.kind} ` +
    `(plan ${limits.plan}, ${ListName.Allowances}:${window.listLine})`;
}
