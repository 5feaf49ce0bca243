/** The plans and the allowances of a trace's customers. */
import type { ListTexts } from "../services/lists/lists.ts";
import { RequestClass } from "../types/enums.ts";
import { type Trace, TraceEventKind } from "./trace_schema.ts";

/** The plan of every customer until a list edit assigns another plan. */
export const standardPlan = "standard";
const reducedPlan = "reduced";

/** Returns the plan of each customer of a trace at the start of the trace. */
export function createInitialPlans({ events }: Trace): Map<string, string> {
  const plans = new Map<string, string>();
  for (const event of events) {
    if (event.kind === TraceEventKind.Request) {
      plans.set(event.customer, standardPlan);
    }
  }
  return plans;
}

/** Creates the texts of both lists in the form that an operator writes. */
export function createTraceLists(
  planByCustomer: ReadonlyMap<string, string>,
): ListTexts {
  const customers = [...planByCustomer]
    .map(([customer, plan]) => `  ${customer}: ${plan}\n`);
  return {
    plansText: `customers:\n${customers.join("")}`,
    allowancesText: [
      "plans:",
      ...createPlan(standardPlan, { rank: 10, burstCount: 1_000 }),
      ...createPlan(reducedPlan, { rank: 5, burstCount: 500 }),
      "",
    ].join("\n"),
  };
}

function createPlan(
  name: string,
  { rank, burstCount }: { readonly rank: number; readonly burstCount: number },
): string[] {
  const allowances = Object.values(RequestClass).flatMap((requestClass) => [
    `      ${requestClass}:`,
    "        burst:",
    `          requestCount: ${burstCount}`,
    "          windowMs: 1000",
    "        sustained:",
    `          requestCount: ${burstCount * 5}`,
    "          windowMs: 10000",
  ]);
  return [
    `  ${name}:`,
    `    rank: ${rank}`,
    "    allowances:",
    ...allowances,
  ];
}
