/**
 * Checks both lists whole: syntax, fields, and the references between them.
 * Every fault is reported at once, so that one correction is enough.
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

/** The lists without a version. */
export type ListContents = Omit<AcceptedLists, "version">;

/** The result of a check; `contents` is undefined when there are errors. */
export interface ListCheck {
  readonly contents: ListContents | undefined;
  readonly errors: readonly ListIssue[];
  readonly warnings: readonly ListIssue[];
}

/** Checks both lists. */
export function parseLists(texts: ListTexts): ListCheck {
  const plans = new ListDocument(ListName.Plans, texts.plansText);
  const allowances = new ListDocument(
    ListName.Allowances,
    texts.allowancesText,
  );
  const plansRead = readList(plans, plansSchema);
  const allowancesRead = readList(allowances, allowancesSchema);
  const references = checkReferences(
    { document: plans, value: plans.toValue() },
    { document: allowances, value: allowances.toValue() },
  );
  const errors = [
    ...plansRead.issues,
    ...allowancesRead.issues,
    ...references.errors,
  ].sort(compareListIssues);
  const isAcceptable = errors.length === 0;
  return {
    contents: isAcceptable
      ? createContents(plansRead.value!, {
        value: allowancesRead.value!,
        document: allowances,
      })
      : undefined,
    errors,
    warnings: references.warnings,
  };
}

interface ReadList<T> {
  /** Undefined when the form is wrong. */
  readonly value: T | undefined;
  readonly issues: readonly ListIssue[];
}

function readList<T>(
  document: ListDocument,
  schema: z.ZodType<T>,
): ReadList<T> {
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
      problem: `unknown field; allowed: ${allowedKeysAt(path)}`,
    }));
  }
  const rule = ruleAt(path);
  const value = document.tryRender(path);
  const isKey = issue.code === "invalid_key";
  return [{
    listName,
    ...(isKey ? document.keyPositionOf(path) : document.positionOf(path)),
    path,
    value: isKey ? JSON.stringify(path.at(-1)) : value,
    unit: rule?.unit,
    problem: (value === undefined ? "missing; " : "") +
      `allowed: ${rule?.allowed ?? `a mapping of ${allowedKeysAt(path)}`}`,
  }];
}

/** The rule of the scalar at a path; undefined for a mapping. */
function ruleAt(path: readonly string[]): FieldRule | undefined {
  const last = path.at(-1) ?? "";
  if (path.length === 2 && path[0] === "customers") return fieldRules.plan;
  if (last === "rank") return fieldRules.rank;
  if (last === "requestCount") return fieldRules.requestCount;
  if (last === "windowMs") return fieldRules.windowMs;
  return undefined;
}

const classNames = Object.values(RequestClass).join(", ");

/** The keys of the mapping at a path, for messages. */
function allowedKeysAt(path: readonly string[]): string {
  if (path[0] === "customers") return "customers to plans";
  switch (path.length) {
    case 0:
      return "customers (plans.yaml) or plans (allowances.yaml)";
    case 1:
      return "plan names to rank and allowances";
    case 2:
      return "rank, allowances";
    case 3:
      return classNames;
    case 4:
      return "burst, sustained";
    default:
      return "requestCount, windowMs";
  }
}

interface ReadAllowances {
  readonly value: AllowancesList;
  readonly document: ListDocument;
}

function createContents(
  plans: PlansList,
  allowances: ReadAllowances,
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
  { document }: ReadAllowances,
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
