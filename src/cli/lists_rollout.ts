/** Waits until every daemon has a version of the lists in force. */
import { ListsService } from "../gen/skylarkridge/v1/lists_pb.ts";
import type { CommandContext } from "./command.ts";

const pollIntervalMs = 200;

/** Which daemons follow a version. */
export interface Rollout {
  readonly daemonCount: number;
  /** Daemons with an older version or without an answer. */
  readonly laggingDaemonIds: readonly string[];
}

/** Asks all daemons until none lags or the time is up; shows the progress. */
export async function waitForRollout(
  context: CommandContext,
  version: number,
): Promise<Rollout> {
  const { clock, flags, output } = context;
  const giveUpAtMs = clock.nowMs() + flags.waitTimeoutMs;
  for (;;) {
    const rollout = await readRollout(context, version);
    const { daemonCount, laggingDaemonIds } = rollout;
    const followingCount = daemonCount - laggingDaemonIds.length;
    output.showProgress(
      `version ${version}: in force on ${followingCount} of ${daemonCount}`,
    );
    if (laggingDaemonIds.length === 0) return rollout;
    if (clock.nowMs() >= giveUpAtMs) return rollout;
    await clock.sleep(pollIntervalMs);
  }
}

async function readRollout(
  { fleet }: CommandContext,
  version: number,
): Promise<Rollout> {
  const answers = await fleet.askAll(
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
