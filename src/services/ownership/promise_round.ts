/**
 * One round of a candidate: asks every member to abandon the present epoch
 * and ends as soon as a blocking set, half or more of the members, has done
 * so. Any strict majority then contains a member that promised.
 */
import type { DaemonInfo } from "../../types/types.ts";
import type { ControlState } from "./control_state.ts";
import { tryAskPromise } from "./sync_client.ts";

/**
 * Returns the local instant by which no majority can be confirmed any more,
 * or undefined when too few members promised. A member that the platform no
 * longer lists counts as promising.
 */
export async function gatherPromises(
  state: ControlState,
  { members, epoch }: {
    readonly members: readonly DaemonInfo[];
    readonly epoch: number;
  },
): Promise<number | undefined> {
  const neededCount = Math.ceil(members.length / 2);
  const endsAtMs: number[] = [];
  const enough = new Promise<void>((resolve) => {
    const asked = members.map(async (member) => {
      const endAtMs = await tryGetEnd(state, { member, epoch });
      if (endAtMs !== undefined) endsAtMs.push(endAtMs);
      if (endsAtMs.length >= neededCount) resolve();
    });
    Promise.all(asked).then(() => resolve());
  });
  await enough;
  if (endsAtMs.length < neededCount) return undefined;
  endsAtMs.sort((a, b) => a - b);
  return endsAtMs[neededCount - 1]!;
}

/** The instant at which a member's last confirmation runs out. */
async function tryGetEnd(
  state: ControlState,
  { member, epoch }: {
    readonly member: DaemonInfo;
    readonly epoch: number;
  },
): Promise<number | undefined> {
  const { clock, directory, options } = state;
  const candidate = state.membership.self();
  const vms = directory.current();
  const isListed = (daemonId: string) =>
    vms.some(({ vmId }) => vmId === daemonId);
  if (isListed(candidate.daemonId) && !isListed(member.daemonId)) {
    return Number.NEGATIVE_INFINITY;
  }
  const request = { candidate, epoch };
  const answer = member.daemonId === candidate.daemonId
    ? state.record.promise(request, clock.nowMs())
    : await tryAskPromise(state, member.address, request);
  if (answer?.isPromised !== true) return undefined;
  return clock.nowMs() - answer.tokenAgeMs + options.leaseDurationMs;
}
