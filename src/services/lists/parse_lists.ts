/**
 * Parses and checks both lists: their syntax, their fields, and the references
 * between them. Reports all issues at once, so that an operator can correct
 * them in one edit.
 */
import type { z } from "zod";
import { ListName, RequestClass, WindowKind } from "../../types/enums.ts";
import type {
  AcceptedLists,
  AllowanceWindow,
  PlanAllowance,
} from "../../types/types.ts";
import { checkReferences } from "./check_references.ts";
import { ListDocument } from "./list_document.ts";
import { compareListIssues, type ListIssue } from "./list_issue.ts";
import {
  type AllowancesList,
  allowancesSchema,
  type ClassAllowance,
  type FieldRule,
  fieldRules,
  type PlansList,
  plansSchema,
} from "./list_schema.ts";
import type { ListTexts } from "./lists.ts";

/** The content of the lists, without a version. */
export type ListContents = Omit<AcceptedLists, "version">;

/** The result of a check; `contents` is undefined if there are errors. */
export interface ListCheckResult {
  readonly contents: ListContents | undefined;
  readonly errors: readonly ListIssue[];
  readonly warnings: readonly ListIssue[];
}

export function parseLists(texts: ListTexts): ListCheckResult {
  const plans = new ListDocument(ListName.Plans, texts.plansText);
  const allowances = new ListDocument(
    ListName.Allowances,
    texts.allowancesText,
  );
  const validatedPlans = validateList(plans, plansSchema);
  const validatedAllowances = validateList(allowances, allowancesSchema);
  const references = checkReferences(
    { document: plans, value: plans.toValue() },
    { document: allowances, value: allowances.toValue() },
  );
  const errors = [
    ...validatedPlans.issues,
    ...validatedAllowances.issues,
    ...references.errors,
  ].sort(compareListIssues);
  const isAcceptable = errors.length === 0;
  return {
    contents: isAcceptable
      ? createContents(validatedPlans.value!, {
        value: validatedAllowances.value!,
        document: allowances,
      })
      : undefined,
    errors,
    warnings: references.warnings,
  };
}

/** The result of checking one list against its schema. */
interface ValidatedList<T> {
  /** Undefined if the list does not conform to the schema. */
  readonly value: T | undefined;
  readonly issues: readonly ListIssue[];
}

function validateList<T>(
  document: ListDocument,
  schema: z.ZodType<T>,
): ValidatedList<T> {
  const value = document.toValue();
  if (value === undefined) {
    return { value: undefined, issues: document.syntaxIssues };
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return { value: parsed.data, issues: document.syntaxIssues };
  }
  const issues = parsed.error.issues.flatMap((issue) =>
    convertIssue(document, issue)
  );
  return { value: undefined, issues: [...document.syntaxIssues, ...issues] };
}

function convertIssue(
  document: ListDocument,
  issue: z.core.$ZodIssue,
): ListIssue[] {
  const path = issue.path.map(String);
  const { listName } = document;
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      listName,
      ...document.keyPositionOf([...path, key]),
      path: [...path, key],
      value: undefined,
      unit: undefined,
      problem: `unknown field; allowed: ${describeAllowedKeys(path)}`,
    }));
  }
  const rule = getFieldRule(path);
  const value = document.tryFormatValue(path);
  const isKey = issue.code === "invalid_key";
  return [{
    listName,
    ...(isKey ? document.keyPositionOf(path) : document.positionOf(path)),
    path,
    value: isKey ? JSON.stringify(path.at(-1)) : value,
    unit: rule?.unit,
    problem: (value === undefined ? "missing; " : "") +
      `allowed: ${
        rule?.allowed ?? `a mapping of ${describeAllowedKeys(path)}`
      }`,
  }];
}

/** Returns the rule of the scalar field at a path; undefined for a mapping. */
function getFieldRule(path: readonly string[]): FieldRule | undefined {
  const last = path.at(-1) ?? "";
  if (path.length === 2 && path[0] === "customers") return fieldRules.plan;
  if (last === "rank") return fieldRules.rank;
  if (last === "requestCount") return fieldRules.requestCount;
  if (last === "windowMs") return fieldRules.windowMs;
  return undefined;
}

const requestClassNames = Object.values(RequestClass).join(", ");

/** Describes the keys that the mapping at a path may have, for messages. */
function describeAllowedKeys(path: readonly string[]): string {
  if (path[0] === "customers") return "customers to plans";
  switch (path.length) {
    case 0:
      return "customers (plans.yaml) or plans (allowances.yaml)";
    case 1:
      return "plan names to rank and allowances";
    case 2:
      return "rank, allowances";
    case 3:
      return requestClassNames;
    case 4:
      return "burst, sustained";
    default:
      return "requestCount, windowMs";
  }
}

/** The list of allowances, with the document that locates its windows. */
interface LocatedAllowances {
  readonly value: AllowancesList;
  readonly document: ListDocument;
}

function createContents(
  plans: PlansList,
  allowances: LocatedAllowances,
): ListContents {
  const entries = Object.entries(allowances.value.plans).map((
    [name, { rank, allowances: byClass }],
  ): [string, PlanAllowance] => [
    name,
    { name, rank, allowances: createWindows(name, byClass, allowances) },
  ]);
  return {
    planByCustomer: plans.customers,
    plans: Object.fromEntries(entries),
  };
}

function createWindows(
  plan: string,
  byClass: AllowancesList["plans"][string]["allowances"],
  { document }: LocatedAllowances,
): PlanAllowance["allowances"] {
  const windows: Partial<Record<RequestClass, AllowanceWindow[]>> = {};
  for (const requestClass of Object.values(RequestClass)) {
    const allowance = byClass[requestClass];
    if (allowance === undefined) continue;
    windows[requestClass] = windowKinds.map((kind) => ({
      kind,
      count: allowance[kind].requestCount,
      windowMs: allowance[kind].windowMs,
      listLine: document.positionOf(
        ["plans", plan, "allowances", requestClass, kind],
      ).line,
    }));
  }
  return windows;
}

const windowKinds = [
  WindowKind.Burst,
  WindowKind.Sustained,
] as const satisfies readonly (keyof ClassAllowance)[];
