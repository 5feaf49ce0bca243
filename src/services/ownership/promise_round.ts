/**
 * One round of promises for a candidate. The candidate asks every member to
 * abandon the current epoch. The round ends as soon as half or more of the
 * members have promised, because any strict majority then contains a member
 * that promised.
 */
import type { DaemonInfo } from "../../types/types.ts";
import type { ControlState } from "./control_state.ts";
import { tryAskPromise } from "./sync_client.ts";

/**
 * Returns the local instant from which no majority can confirm the current
 * epoch, or undefined when too few members promised. A member that the platform
 * no longer lists counts as promised.
 */
export async function collectPromises(
  state: ControlState,
  { members, epoch }: {
    readonly members: readonly DaemonInfo[];
    readonly epoch: number;
  },
): Promise<number | undefined> {
  const neededCount = Math.ceil(members.length / 2);
  const expiriesAtMs: number[] = [];
  const finished = new Promise<void>((resolve) => {
    const asked = members.map(async (member) => {
      const expiryAtMs = await tryGetExpiry(state, { member, epoch });
      if (expiryAtMs !== undefined) expiriesAtMs.push(expiryAtMs);
      if (expiriesAtMs.length >= neededCount) resolve();
    });
    Promise.all(asked).then(() => resolve());
  });
  await finished;
  if (expiriesAtMs.length < neededCount) return undefined;
  expiriesAtMs.sort((a, b) => a - b);
  return expiriesAtMs[neededCount - 1]!;
}

/**
 * The local instant at which a member's last confirmation expires; undefined
 * when the member did not promise.
 */
async function tryGetExpiry(
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
    ? state.follower.promise(request, clock.nowMs())
    : await tryAskPromise(state, member.address, request);
  if (answer?.isPromised !== true) return undefined;
  return clock.nowMs() - answer.tokenAgeMs + options.leaseDurationMs;
}
