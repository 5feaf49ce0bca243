/**
 * Checks what the form of one list cannot: references between the lists, and
 * the order of the two windows of an allowance.
 */
import type { ListDocument } from "./list_document.ts";
import type { ListIssue, ListPath } from "./list_issue.ts";
import { type ClassAllowance, classAllowanceSchema } from "./list_schema.ts";

/** A list as read; its form may be wrong in places. */
export interface ReadDocument {
  readonly document: ListDocument;
  readonly value: unknown;
}

/** Faults found between the lists. */
export interface ReferenceCheck {
  readonly errors: readonly ListIssue[];
  readonly warnings: readonly ListIssue[];
}

/** Checks references as far as both lists could be read. */
export function checkReferences(
  plans: ReadDocument,
  allowances: ReadDocument,
): ReferenceCheck {
  const errors = findWindowFaults(allowances);
  const planNames = childrenOf(allowances.value, "plans")
    .map(([name]) => name);
  const customers = childrenOf(plans.value, "customers");
  if (planNames.length === 0) return { errors, warnings: [] };
  for (const [customer, plan] of customers) {
    if (typeof plan !== "string" || planNames.includes(plan)) continue;
    errors.push(createIssue(plans.document, ["customers", customer], {
      problem: "the plan has no entry in allowances.yaml; " +
        `allowed: ${planNames.join(", ")}`,
    }));
  }
  const used = new Set(customers.map(([, plan]) => plan));
  const warnings = planNames.filter((plan) => !used.has(plan)).map((plan) => ({
    ...createIssue(allowances.document, ["plans", plan], {
      problem: "no customer is on this plan",
    }),
    ...allowances.document.keyPositionOf(["plans", plan]),
    value: undefined,
  }));
  return { errors, warnings };
}

function findWindowFaults({ document, value }: ReadDocument): ListIssue[] {
  const issues: ListIssue[] = [];
  for (const [plan, planValue] of childrenOf(value, "plans")) {
    const byClass = childrenOf(planValue, "allowances");
    for (const [requestClass, allowance] of byClass) {
      const path = ["plans", plan, "allowances", requestClass];
      const parsed = classAllowanceSchema.safeParse(allowance);
      if (!parsed.success) continue;
      issues.push(...compareWindows(document, path, parsed.data));
    }
  }
  return issues;
}

/** The entries of the mapping under a key; none when there is no mapping. */
function childrenOf(value: unknown, key: string): [string, unknown][] {
  if (!isMapping(value) || !isMapping(value[key])) return [];
  return Object.entries(value[key]);
}

function isMapping(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** The burst window must be the shorter one and must be able to bind. */
function compareWindows(
  document: ListDocument,
  path: ListPath,
  { burst, sustained }: ClassAllowance,
): ListIssue[] {
  const issues: ListIssue[] = [];
  if (burst.windowMs >= sustained.windowMs) {
    issues.push(createIssue(document, [...path, "burst", "windowMs"], {
      unit: "milliseconds",
      problem: `allowed: less than sustained.windowMs (${sustained.windowMs})`,
    }));
  }
  if (burst.requestCount > sustained.requestCount) {
    issues.push(createIssue(document, [...path, "burst", "requestCount"], {
      unit: "requests",
      problem: "allowed: at most sustained.requestCount " +
        `(${sustained.requestCount})`,
    }));
  }
  return issues;
}

function createIssue(
  document: ListDocument,
  path: ListPath,
  facts: { readonly problem: string; readonly unit?: string },
): ListIssue {
  return {
    listName: document.listName,
    ...document.positionOf(path),
    path,
    value: document.tryRender(path),
    unit: facts.unit,
    problem: facts.problem,
  };
}
