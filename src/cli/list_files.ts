/** Reads the two lists from the operator's files. */
import type { ListTexts } from "../services/lists/lists.ts";
import type { CommandContext } from "./command.ts";
import { ToolExitCode } from "./exit_code.ts";
import { ToolError } from "./tool_error.ts";

/** Reads the files that the first two arguments name: plans, then allowances. Throws `ToolError`. */
export async function readListFiles(
  context: CommandContext,
): Promise<ListTexts> {
  const [plansPath = "", allowancesPath = ""] = context.arguments;
  return {
    plansText: await readListFile(context, plansPath),
    allowancesText: await readListFile(context, allowancesPath),
  };
}

async function readListFile(
  { files }: CommandContext,
  path: string,
): Promise<string> {
  try {
    return await files.read(path);
  } catch (error) {
    throw new ToolError(
      ToolExitCode.Usage,
      `${path} cannot be read: ${(error as Error).message}`,
    );
  }
}
