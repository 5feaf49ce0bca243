/** Sends and receives allowance messages between daemons over Connect. */
import { createClient } from "@connectrpc/connect";
import { err, ok, type Result } from "neverthrow";
import { MessageCode } from "../../diagnostics/messages.ts";
import { AllowanceService } from "../../gen/skylarkridge/v1/allowance_pb.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import { RouterError, toRouterError } from "../../types/errors.ts";
import type { DaemonInfo } from "../../types/types.ts";
import type { AccountKey } from "./account.ts";
import {
  decodeGrant,
  decodeKey,
  decodeLedger,
  decodeReport,
  encodeGrant,
  encodeLedger,
  encodeReport,
} from "./allowance_codec.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
} from "./allowance_messages.ts";
import { AllowancePeers } from "./allowance_peers.ts";
import type { LedgerKeeper } from "./ledger_keeper.ts";

/** Serves this daemon's ledgers on the peer listener. */
export function registerAllowanceService(
  services: ServiceLookup,
  keeper: LedgerKeeper,
): void {
  services.get(ServiceName.PeerServer).addConnectService(AllowanceService, {
    exchange: async ({ daemonId, reports, isRelayed }) => {
      const grants = await Promise.all(
        reports.map((report) =>
          keeper.exchange(decodeReport(report, daemonId), { isRelayed })
        ),
      );
      return { grants: grants.map(encodeGrant) };
    },
    replicate: ({ daemonId, copies }) => {
      for (const copy of copies) {
        keeper.receiveCopy(decodeLedger(copy), daemonId);
      }
      return {};
    },
    fetchLedger: ({ account }) => {
      const copy = keeper.tryCopy(decodeKey(account));
      return copy === undefined ? {} : { copy: encodeLedger(copy) };
    },
  });
}

/** Timeouts of calls to a peer. */
export interface AllowanceTimeouts {
  /** For reports of this daemon's own accounts and for copies of ledgers. */
  readonly exchangeTimeoutMs: number;
  /** For calls made while another daemon waits for the answer to its report. */
  readonly relayTimeoutMs: number;
}

/** Calls the allowance service of peers over Connect. */
export class ConnectAllowancePeers extends AllowancePeers {
  readonly #services: ServiceLookup;
  readonly #timeouts: AllowanceTimeouts;

  constructor(services: ServiceLookup, timeouts: AllowanceTimeouts) {
    super();
    this.#services = services;
    this.#timeouts = timeouts;
  }

  override exchange(
    peer: DaemonInfo,
    reports: readonly AccountReport[],
    { isRelayed }: { readonly isRelayed: boolean },
  ): Promise<Result<readonly (AccountGrant | undefined)[], RouterError>> {
    const daemonId = reports[0]?.daemonId ?? "";
    const { exchangeTimeoutMs, relayTimeoutMs } = this.#timeouts;
    const timeoutMs = isRelayed ? relayTimeoutMs : exchangeTimeoutMs;
    const step = "exchange allowances";
    return this.#call(peer, { step, timeoutMs }, async () => {
      const { grants } = await this.#createClient(peer).exchange({
        daemonId,
        reports: reports.map(encodeReport),
        isRelayed,
      });
      return grants.map(decodeGrant);
    });
  }

  override replicate(
    peer: DaemonInfo,
    copies: readonly LedgerCopy[],
  ): Promise<Result<void, RouterError>> {
    const { daemonId } = this.#services.get(ServiceName.Membership).self();
    const { exchangeTimeoutMs: timeoutMs } = this.#timeouts;
    const step = "replicate ledgers";
    return this.#call(peer, { step, timeoutMs }, async () => {
      await this.#createClient(peer).replicate({
        daemonId,
        copies: copies.map(encodeLedger),
      });
    });
  }

  override fetchLedger(
    peer: DaemonInfo,
    key: AccountKey,
  ): Promise<Result<LedgerCopy | undefined, RouterError>> {
    const { relayTimeoutMs: timeoutMs } = this.#timeouts;
    const step = "fetch ledger";
    return this.#call(peer, { step, timeoutMs }, async () => {
      const { copy } = await this.#createClient(peer)
        .fetchLedger({ account: key });
      return copy === undefined ? undefined : decodeLedger(copy);
    });
  }

  #createClient(peer: DaemonInfo) {
    const transport = this.#services.get(ServiceName.PeerTransport)
      .connectTo(peer.address);
    return createClient(AllowanceService, transport);
  }

  /** Runs a call; after the timeout, fails without waiting for the call. */
  async #call<T>(
    peer: DaemonInfo,
    { step, timeoutMs }: { readonly step: string; readonly timeoutMs: number },
    call: () => Promise<T>,
  ): Promise<Result<T, RouterError>> {
    const clock = this.#services.get(ServiceName.Clock);
    const finished = new AbortController();
    const called = call().then(
      (value): Result<T, RouterError> => ok(value),
      (error): Result<T, RouterError> =>
        err(toRouterError(error, MessageCode.PeerUnreachable, {
          step,
          peer: peer.daemonId,
        })),
    );
    const timedOut = clock.sleep(timeoutMs, finished.signal)
      .then((): Result<T, RouterError> =>
        err(
          new RouterError(MessageCode.PeerUnreachable, step, {
            peer: peer.daemonId,
            detail: "timed out",
          }),
        )
      );
    const result = await Promise.race([called, timedOut]);
    finished.abort();
    return result;
  }
}
