import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { DaemonInfo } from "../../types/types.ts";
import { Authority } from "./authority.ts";
import { permitOverrunMs } from "./control_options.ts";
import { FollowerState } from "./follower_state.ts";
import { OwnPermit } from "./own_permit.ts";
import { PermitLedger } from "./permit_ledger.ts";
import type { CoordinatorView } from "./sync_messages.ts";

const leaseDurationMs = 1_000;
const permitDurationMs = 1_800;

function createMembers(count: number): DaemonInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    daemonId: `daemon-${index}`,
    address: `daemon-${index}:1`,
    dataCentre: "dc-a",
    isDraining: false,
  }));
}

function createView(parts: Partial<CoordinatorView> = {}): CoordinatorView {
  return {
    epoch: 1,
    holderId: "daemon-0",
    membersVersion: 1,
    members: createMembers(5),
    ...parts,
  };
}

describe("Authority", () => {
  describe("based on the lease row", () => {
    it("ends one lease duration after the write was sent", () => {
      const authority = new Authority("daemon-0", leaseDurationMs);
      authority.confirmRow(createView(), 500);
      assert.is(authority.expiresAtMs(600), 1_500);
      authority.relinquish();
      assert.is(authority.expiresAtMs(600), Number.NEGATIVE_INFINITY);
    });
  });

  describe("based on a majority of members", () => {
    function createAuthority(members: DaemonInfo[]): Authority {
      const authority = new Authority("daemon-0", leaseDurationMs);
      authority.confirmRow(createView({ members }), 0);
      return authority;
    }

    it("counts a confirmation from when its token was issued", () => {
      const authority = createAuthority(createMembers(5));
      authority.confirmMember("daemon-1", 5_000);
      authority.confirmMember("daemon-2", 4_800);
      assert.is(authority.expiresAtMs(9_000), 5_800);
    });

    it("needs more than half of the members, including itself", () => {
      const authority = createAuthority(createMembers(4));
      authority.confirmMember("daemon-1", 5_000);
      assert.is(authority.expiresAtMs(5_000), leaseDurationMs);
      authority.confirmMember("daemon-2", 4_900);
      assert.is(authority.expiresAtMs(5_000), 5_900);
    });

    it("needs a majority of both lists while a change of members is uncertain", () => {
      const authority = createAuthority(createMembers(3));
      authority.confirmMember("daemon-1", 5_000);
      authority.addMembersList(createMembers(5));
      assert.is(authority.expiresAtMs(5_000), leaseDurationMs);
      authority.setMembersList(createMembers(3));
      assert.is(authority.expiresAtMs(5_000), 6_000);
    });

    it("discards the confirmations of an older epoch", () => {
      const authority = createAuthority(createMembers(3));
      authority.confirmMember("daemon-1", 5_000);
      authority.confirmRow(createView({ epoch: 2 }), 4_000);
      assert.is(authority.expiresAtMs(5_000), 5_000);
    });
  });
});

describe("FollowerState", () => {
  const candidate = createMembers(5)[4]!;

  function createFollower(): FollowerState {
    const follower = new FollowerState();
    follower.updateView(createView());
    follower.receiveToken(1, 40, 100);
    return follower;
  }

  it("stops confirming an epoch that it promised to abandon", () => {
    const follower = createFollower();
    assert.is(follower.confirmedTokenMs(), 40);
    const answer = follower.promise({ epoch: 2, candidate }, 250);
    assert.equal(answer, { isPromised: true, epoch: 1, tokenAgeMs: 150 });
    assert.is(follower.confirmedTokenMs(), undefined);
    assert.not(follower.isFollowed(1));
    follower.receiveToken(1, 60, 300);
    assert.is(follower.promise({ epoch: 2, candidate }, 350).tokenAgeMs, 250);
  });

  it("refuses a candidate whose epoch is not newer than the followed one", () => {
    const answer = createFollower().promise({ epoch: 1, candidate }, 250);
    assert.not(answer.isPromised);
  });

  it("follows the promised epoch and ignores an older view", () => {
    const follower = createFollower();
    follower.promise({ epoch: 3, candidate }, 250);
    assert.is(follower.tryGetCandidate(), candidate);
    follower.updateView(createView({ epoch: 3, holderId: candidate.daemonId }));
    assert.ok(follower.isFollowed(3));
    assert.is(follower.tryGetCandidate(), undefined);
    follower.updateView(createView({ epoch: 2, membersVersion: 9 }));
    assert.is(follower.view().epoch, 3);
  });
});

describe("OwnPermit", () => {
  it("counts from before the request was sent and is never shortened", () => {
    const permit = new OwnPermit(permitDurationMs);
    permit.extend(100, 5_000);
    assert.is(permit.expiresAtMs(), 100 + permitDurationMs);
    permit.extend(200, 300);
    assert.is(permit.expiresAtMs(), 100 + permitDurationMs);
  });
});

describe("PermitLedger", () => {
  function createLedger(): PermitLedger {
    return new PermitLedger({
      permitDurationMs,
      previousEndedAtMs: 1_000,
      previousHolderId: "daemon-9",
    });
  }

  it("waits for permits that the previous coordinator granted, except to itself", () => {
    const ledger = createLedger();
    const expiresAtMs = 1_000 + permitOverrunMs;
    assert.is(ledger.expiresAtMs("daemon-1", 1_200), expiresAtMs);
    assert.ok(ledger.expiresAtMs("daemon-9", 1_200) < 1_200);
  });

  it("limits a permit by the remaining authority of the coordinator", () => {
    const ledger = createLedger();
    const fullAuthority = { nowMs: 10_000, authorityEndsAtMs: 11_000 };
    assert.is(ledger.grant("daemon-1", fullAuthority), permitDurationMs);
    const endingAuthority = { nowMs: 10_900, authorityEndsAtMs: 11_000 };
    assert.is(ledger.grant("daemon-2", endingAuthority), 100 + permitOverrunMs);
    assert.is(ledger.expiresAtMs("daemon-1", 11_500), 11_800);
  });

  it("waits a full permit duration for a daemon whose parent is not the coordinator", () => {
    const ledger = createLedger();
    ledger.setIndirectDaemons(new Set(["daemon-1"]), 10_000);
    assert.is(ledger.expiresAtMs("daemon-1", 11_000), 12_800);
    ledger.setIndirectDaemons(new Set(), 10_500);
    assert.is(ledger.expiresAtMs("daemon-1", 11_000), 12_300);
  });
});
