/** Creates the texts of both lists for tests. */
import type { ListTexts } from "../services/lists/lists.ts";

/** The two windows of the test lists' only plan. */
export interface TestAllowance {
  readonly burstCount: number;
  readonly burstWindowMs: number;
  readonly sustainedCount: number;
  readonly sustainedWindowMs: number;
}

const defaultAllowance: TestAllowance = {
  burstCount: 100,
  burstWindowMs: 1_000,
  sustainedCount: 1_000,
  sustainedWindowMs: 10_000,
};

/** Creates lists in which all customers have one plan, with an allowance for live reads. */
export function createListTexts(
  parts: Partial<TestAllowance> = {},
  customers: readonly string[] = ["customer", "other"],
): ListTexts {
  const allowance = { ...defaultAllowance, ...parts };
  const entries = customers.map((customer) => `  ${customer}: basic\n`);
  return {
    plansText: `customers:\n${entries.join("")}`,
    allowancesText: [
      "plans:",
      "  basic:",
      "    rank: 10",
      "    allowances:",
      "      live-read:",
      "        burst:",
      `          requestCount: ${allowance.burstCount}`,
      `          windowMs: ${allowance.burstWindowMs}`,
      "        sustained:",
      `          requestCount: ${allowance.sustainedCount}`,
      `          windowMs: ${allowance.sustainedWindowMs}`,
      "",
    ].join("\n"),
  };
}
