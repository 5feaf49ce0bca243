/**
 * Checks the rules that the schema of one list cannot express: references
 * between the two lists, and the relation between the two windows of an
 * allowance.
 */
import type { ListDocument } from "./list_document.ts";
import type { ListIssue, ListPath } from "./list_issue.ts";
import { type ClassAllowance, classAllowanceSchema } from "./list_schema.ts";

/** A list after parsing; its value need not conform to the schema. */
export interface ParsedList {
  readonly document: ListDocument;
  readonly value: unknown;
}

/** Issues that involve both lists, or two windows of one allowance. */
export interface ReferenceIssues {
  readonly errors: readonly ListIssue[];
  readonly warnings: readonly ListIssue[];
}

/** Checks the references between the lists, as far as both could be parsed. */
export function checkReferences(
  plans: ParsedList,
  allowances: ParsedList,
): ReferenceIssues {
  const errors = findWindowIssues(allowances);
  const planNames = getEntries(allowances.value, "plans")
    .map(([name]) => name);
  const customers = getEntries(plans.value, "customers");
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

function findWindowIssues({ document, value }: ParsedList): ListIssue[] {
  const issues: ListIssue[] = [];
  for (const [plan, planValue] of getEntries(value, "plans")) {
    const byClass = getEntries(planValue, "allowances");
    for (const [requestClass, allowance] of byClass) {
      const path = ["plans", plan, "allowances", requestClass];
      const parsed = classAllowanceSchema.safeParse(allowance);
      if (!parsed.success) continue;
      issues.push(...compareWindows(document, path, parsed.data));
    }
  }
  return issues;
}

/** Returns the entries of the mapping under a key; empty if there is no mapping. */
function getEntries(value: unknown, key: string): [string, unknown][] {
  if (!isMapping(value) || !isMapping(value[key])) return [];
  return Object.entries(value[key]);
}

function isMapping(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Checks that the burst window is shorter than the sustained window and does
 * not allow more requests, since the burst window would otherwise never limit a
 * customer.
 */
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
  details: { readonly problem: string; readonly unit?: string },
): ListIssue {
  return {
    listName: document.listName,
    ...document.positionOf(path),
    path,
    value: document.tryFormatValue(path),
    unit: details.unit,
    problem: details.problem,
  };
}
