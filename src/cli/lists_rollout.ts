/** Waits until a version of the lists is in force on every daemon. */
import { ListsService } from "../gen/skylarkridge/v1/lists_pb.ts";
import type { CommandContext } from "./command.ts";

const pollIntervalMs = 200;

/** How far a version of the lists has been rolled out. */
export interface Rollout {
  readonly daemonCount: number;
  /** Daemons that have an older version in force or did not answer. */
  readonly laggingDaemonIds: readonly string[];
}

/** Polls all daemons until none lags or the wait timeout passes; shows the progress. */
export async function waitForRollout(
  context: CommandContext,
  version: number,
): Promise<Rollout> {
  const { clock, flags, output } = context;
  const deadlineAtMs = clock.nowMs() + flags.waitTimeoutMs;
  for (;;) {
    const rollout = await readRollout(context, version);
    const { daemonCount, laggingDaemonIds } = rollout;
    const followingCount = daemonCount - laggingDaemonIds.length;
    output.showProgress(
      `version ${version}: in force on ${followingCount} of ${daemonCount}`,
    );
    if (laggingDaemonIds.length === 0) return rollout;
    if (clock.nowMs() >= deadlineAtMs) return rollout;
    await clock.sleep(pollIntervalMs);
  }
}

async function readRollout(
  { fleet }: CommandContext,
  version: number,
): Promise<Rollout> {
  const answers = await fleet.callAll(
    ListsService,
    (client) => client.getLists({ versionOnly: true }),
  );
  const lagging = answers.filter(({ value }) =>
    Number(value?.revision?.version ?? 0) < version
  );
  return {
    daemonCount: answers.length,
    laggingDaemonIds: lagging.map(({ daemon }) => daemon.daemonId),
  };
}
