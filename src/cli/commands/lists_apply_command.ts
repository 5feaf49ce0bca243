/**
 * `lists apply PLANS ALLOWANCES --base-version N`: replaces both lists if the
 * base version is still in force. With `--wait`, waits until the new version is
 * in force on every daemon.
 */
import { ListsService } from "../../gen/skylarkridge/v1/lists_pb.ts";
import { Command, type CommandContext, printResult } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import type { ListTexts } from "../../services/lists/lists.ts";
import { readListFiles } from "../list_files.ts";
import { type Rollout, waitForRollout } from "../lists_rollout.ts";
import { ToolError } from "../tool_error.ts";

/** The result of the command. */
interface ApplyResult {
  readonly version: number;
  /** Undefined without `--wait`. */
  readonly rollout: Rollout | undefined;
}

export class ListsApplyCommand extends Command {
  override readonly name = "lists apply";
  override readonly usage = "PLANS ALLOWANCES --base-version N";
  override readonly summary = "accept both lists; --wait for every daemon";
  override readonly minArgumentCount = 2;
  override readonly maxArgumentCount = 2;

  override async run(context: CommandContext): Promise<ToolExitCode> {
    const texts = await readListFiles(context);
    const baseVersion = await requireBaseVersion(context);
    const version = await applyLists(context, { texts, baseVersion });
    const rollout = context.flags.wait
      ? await waitForRollout(context, version)
      : undefined;
    printResult(context, { version, rollout }, { render: formatApplied });
    const isLagging = (rollout?.laggingDaemonIds.length ?? 0) > 0;
    return isLagging ? ToolExitCode.Lagging : ToolExitCode.Success;
  }
}

/** Returns the base version; throws without one, since the change could overwrite a concurrent change. */
async function requireBaseVersion(context: CommandContext): Promise<number> {
  const { baseVersion } = context.flags;
  if (baseVersion !== undefined) return baseVersion;
  const { revision } = await context.fleet.call(
    ListsService,
    (client) => client.getLists({ versionOnly: true }),
  );
  throw new ToolError(
    ToolExitCode.Usage,
    "--base-version is not set; allowed: the version that the change starts " +
      `from; version ${revision?.version ?? 0} is in force`,
  );
}

async function applyLists(
  { fleet, flags }: CommandContext,
  change: { readonly texts: ListTexts; readonly baseVersion: number },
): Promise<number> {
  try {
    const { version } = await fleet.call(
      ListsService,
      (client) =>
        client.applyLists({
          texts: change.texts,
          baseVersion: BigInt(change.baseVersion),
          author: flags.author ?? "operator",
        }),
    );
    return Number(version);
  } catch (error) {
    if (!(error instanceof ToolError) || !error.isTimeout) throw error;
    throw new ToolError(
      ToolExitCode.Unknown,
      "the daemon did not answer in time, so the change may or may not have " +
        "been accepted; " +
        "applying the same lists again is safe",
    );
  }
}

function formatApplied({ version, rollout }: ApplyResult): string[] {
  if (rollout === undefined) return [`version ${version} is accepted`];
  const total = rollout.daemonCount;
  const followingCount = total - rollout.laggingDaemonIds.length;
  return [
    `version ${version} is accepted and in force on ` +
    `${followingCount} of ${total} daemons`,
    ...rollout.laggingDaemonIds.map((daemonId) => `lagging: ${daemonId}`),
  ];
}
