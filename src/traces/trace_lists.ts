/** The two lists under which a trace's customers run. */
import type { ListTexts } from "../services/lists/lists.ts";
import { RequestClass } from "../types/enums.ts";
import { type Trace, TraceEventKind } from "./trace_schema.ts";

/** The plan of every customer until an edit gives it another. */
export const standardPlan = "standard";
const reducedPlan = "reduced";

/** The plan of each customer of a trace at its start. */
export function createInitialPlans({ events }: Trace): Map<string, string> {
  const plans = new Map<string, string>();
  for (const event of events) {
    if (event.kind === TraceEventKind.Request) {
      plans.set(event.customer, standardPlan);
    }
  }
  return plans;
}

/** Both lists as an operator would write them. */
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
