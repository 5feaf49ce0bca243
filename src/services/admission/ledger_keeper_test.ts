import { err, ok, type Result } from "neverthrow";
import * as assert from "uvu/assert";
import { MessageCode } from "../../diagnostics/messages.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import { settleWithin, TestFleet } from "../../testing/test_fleet.ts";
import { createListTexts } from "../../testing/test_lists.ts";
import { RequestClass } from "../../types/enums.ts";
import { RouterError } from "../../types/errors.ts";
import type { DaemonInfo } from "../../types/types.ts";
import type { AccountKey } from "./account.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
} from "./allowance_messages.ts";
import { AllowancePeers } from "./allowance_peers.ts";
import { HomeRanking } from "./home_ranking.ts";
import { LedgerKeeper } from "./ledger_keeper.ts";
import { PeerSuspicion } from "./peer_suspicion.ts";

const key: AccountKey = {
  customer: "customer",
  requestClass: RequestClass.LiveRead,
};
const allowedCount = 50;
const times = {
  syncIntervalMs: 100,
  leaseDurationMs: 1_000,
  probeIntervalMs: 500,
};

/** Calls keepers in this process, except those marked as unreachable. */
class MemoryPeers extends AllowancePeers {
  readonly keepers = new Map<string, LedgerKeeper>();
  readonly unreachable = new Set<string>();

  override async exchange(
    peer: DaemonInfo,
    reports: readonly AccountReport[],
    options: { readonly isRelayed: boolean },
  ): Promise<Result<readonly (AccountGrant | undefined)[], RouterError>> {
    const keeper = this.#tryReach(peer);
    if (keeper === undefined) return err(createUnreachableError(peer));
    return ok(
      await Promise.all(reports.map((r) => keeper.exchange(r, options))),
    );
  }

  override replicate(
    peer: DaemonInfo,
    copies: readonly LedgerCopy[],
  ): Promise<Result<void, RouterError>> {
    const keeper = this.#tryReach(peer);
    if (keeper === undefined) {
      return Promise.resolve(err(createUnreachableError(peer)));
    }
    for (const copy of copies) keeper.receiveCopy(copy, "sender");
    return Promise.resolve(ok(undefined));
  }

  override fetchLedger(
    peer: DaemonInfo,
    account: AccountKey,
  ): Promise<Result<LedgerCopy | undefined, RouterError>> {
    const keeper = this.#tryReach(peer);
    return Promise.resolve(
      keeper === undefined
        ? err(createUnreachableError(peer))
        : ok(keeper.tryCopy(account)),
    );
  }

  #tryReach({ daemonId }: DaemonInfo): LedgerKeeper | undefined {
    if (this.unreachable.has(daemonId)) return undefined;
    return this.keepers.get(daemonId);
  }
}

function createUnreachableError({ daemonId }: DaemonInfo): RouterError {
  return new RouterError(MessageCode.PeerUnreachable, "call", {
    peer: daemonId,
  });
}

/** Starts a fleet and finds the home of the customer and its successor. */
async function createScenario(seed: number) {
  const fleet = new TestFleet({ seed, daemonCount: 4, serverCount: 1 });
  await fleet.start();
  const texts = createListTexts({
    burstCount: allowedCount,
    burstWindowMs: 60_000,
    sustainedCount: 100,
    sustainedWindowMs: 120_000,
  });
  const applied = fleet.daemons[0]!.kernel.get(ServiceName.Lists)
    .apply(texts, { baseVersion: 0, author: "ana" });
  (await settleWithin(fleet.clock, applied, 5_000))._unsafeUnwrap();
  await fleet.clock.advance(3_000);
  const peers = new MemoryPeers();
  const ranking = new HomeRanking(fleet.daemons[0]!.kernel);
  const ranked = ranking.rank(key.customer);
  ranking.close();
  const openKeeper = ({ daemonId }: DaemonInfo) => {
    const daemon = fleet.daemons.find((d) => d.daemonId === daemonId)!;
    const keeper = new LedgerKeeper({
      services: daemon.kernel,
      peers,
      ranking: new HomeRanking(daemon.kernel),
      suspicion: new PeerSuspicion(),
      times,
    });
    peers.keepers.set(daemonId, keeper);
    return keeper;
  };
  const [home, standby] = ranked as [DaemonInfo, DaemonInfo];
  return { fleet, peers, home, standby, openKeeper };
}

function createReport(daemonId: string, wantedCount: number): AccountReport {
  return {
    daemonId,
    key,
    openedAtMs: 0,
    sequence: 1,
    usedTotal: 0,
    recentCount: 0,
    heldCount: 0,
    wantedCount,
    uses: [],
  };
}

describe("LedgerKeeper", () => {
  describe("a report to a daemon of lower rank", () => {
    it("is decided by the home while the home can be reached", async () => {
      const { fleet, home, standby, openKeeper } = await createScenario(71);
      const homeKeeper = openKeeper(home);
      const standbyKeeper = openKeeper(standby);
      const homeGrant = await homeKeeper
        .exchange(createReport("a", 30), { isRelayed: false });
      const standbyGrant = await standbyKeeper
        .exchange(createReport("b", 30), { isRelayed: false });
      assert.is(homeGrant?.grantedCount, 30);
      assert.is(standbyGrant?.grantedCount, 20);
      assert.is(standbyKeeper.ledgerCount(), 0);
      await fleet.stop();
    });

    it("is decided by that daemon when the home is lost", async () => {
      const { fleet, peers, home, standby, openKeeper } = await createScenario(
        72,
      );
      const homeKeeper = openKeeper(home);
      const standbyKeeper = openKeeper(standby);
      await homeKeeper.exchange(createReport("a", 30), { isRelayed: false });
      await homeKeeper.replicateOnce();
      peers.unreachable.add(home.daemonId);
      const grant = await standbyKeeper
        .exchange(createReport("b", 30), { isRelayed: false });
      assert.is(grant?.grantedCount, 20);
      await fleet.stop();
    });
  });

  describe("a daemon that becomes home", () => {
    it("first takes over the leases that the former home granted", async () => {
      const { fleet, home, standby, openKeeper } = await createScenario(73);
      const formerKeeper = openKeeper(standby);
      await formerKeeper.exchange(createReport("a", 40), { isRelayed: true });
      const newKeeper = openKeeper(home);
      const grant = await newKeeper
        .exchange(createReport("b", 30), { isRelayed: false });
      assert.is(grant?.grantedCount, 10);
      await fleet.stop();
    });
  });

  describe("a home that was frozen", () => {
    it("first learns of the leases that the standby granted", async () => {
      const { fleet, peers, home, standby, openKeeper } = await createScenario(
        74,
      );
      const homeKeeper = openKeeper(home);
      const standbyKeeper = openKeeper(standby);
      await homeKeeper.exchange(createReport("a", 10), { isRelayed: false });
      await homeKeeper.replicateOnce();
      peers.unreachable.add(home.daemonId);
      await fleet.clock.advance(2_000);
      await standbyKeeper.exchange(createReport("b", 30), { isRelayed: false });
      peers.unreachable.clear();
      const grant = await homeKeeper
        .exchange(createReport("c", 50), { isRelayed: false });
      assert.is(grant?.grantedCount, 10);
      await fleet.stop();
    });
  });
});
