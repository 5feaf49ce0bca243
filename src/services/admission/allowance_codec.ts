/** Converts allowance messages to and from the generated protobuf types. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  type AccountGrant as WireGrant,
  AccountGrantSchema,
  type AccountName,
  type AccountReport as WireReport,
  AccountReportSchema,
  type LedgerCopy as WireLedger,
  LedgerCopySchema,
} from "../../gen/skylarkridge/v1/allowance_pb.ts";
import { RequestClass, WindowKind } from "../../types/enums.ts";
import type { AccountKey } from "./account.ts";
import type {
  AccountGrant,
  AccountReport,
  LedgerCopy,
} from "./allowance_messages.ts";

/** Encodes a report without its daemon, which the request names once. */
export function encodeReport(report: AccountReport): WireReport {
  return create(AccountReportSchema, {
    account: report.key,
    openedAtMs: BigInt(report.openedAtMs),
    sequence: BigInt(report.sequence),
    usedTotal: BigInt(report.usedTotal),
    recentCount: report.recentCount,
    heldCount: report.heldCount,
    wantedCount: report.wantedCount,
    uses: report.uses.map(({ ageMs, count }) => ({
      ageMs: Math.floor(ageMs),
      count,
    })),
  });
}

/** Decodes a report; throws when the account is missing or malformed. */
export function decodeReport(
  report: WireReport,
  daemonId: string,
): AccountReport {
  return {
    daemonId,
    key: decodeKey(report.account),
    openedAtMs: Number(report.openedAtMs),
    sequence: Number(report.sequence),
    usedTotal: Number(report.usedTotal),
    recentCount: report.recentCount,
    heldCount: report.heldCount,
    wantedCount: report.wantedCount,
    uses: report.uses.map(({ ageMs, count }) => ({ ageMs, count })),
  };
}

/** Encodes a grant; undefined means that this daemon can't decide. */
export function encodeGrant(grant: AccountGrant | undefined): WireGrant {
  if (grant === undefined) return create(AccountGrantSchema, {});
  return create(AccountGrantSchema, {
    isDecided: true,
    grantedCount: grant.grantedCount,
    retryAfterMs: Math.ceil(grant.retryAfterMs),
    windowKind: grant.windowKind ?? "",
  });
}

/** Decodes a grant; undefined when the peer can't decide. */
export function decodeGrant(grant: WireGrant): AccountGrant | undefined {
  if (!grant.isDecided) return undefined;
  return {
    grantedCount: grant.grantedCount,
    retryAfterMs: grant.retryAfterMs,
    windowKind: grant.windowKind === ""
      ? undefined
      : decodeWindowKind(grant.windowKind),
  };
}

export function encodeLedger(copy: LedgerCopy): WireLedger {
  const init: MessageInitShape<typeof LedgerCopySchema> = {
    account: copy.key,
    members: copy.members.map((member) => ({
      ...member,
      openedAtMs: BigInt(member.openedAtMs),
      sequence: BigInt(member.sequence),
      usedTotal: BigInt(member.usedTotal),
      baseTotal: BigInt(member.baseTotal),
    })),
    windows: (copy.windows ?? []).map(({ kind, windowMs, counts }) => ({
      windowKind: kind,
      windowMs,
      counts: [...counts],
    })),
  };
  return create(LedgerCopySchema, init);
}

/** Decodes a ledger; throws when a request class or window kind is unknown. */
export function decodeLedger(copy: WireLedger): LedgerCopy {
  const windows = copy.windows.map(({ windowKind, windowMs, counts }) => ({
    kind: decodeWindowKind(windowKind),
    windowMs,
    counts,
  }));
  return {
    key: decodeKey(copy.account),
    members: copy.members.map((member) => ({
      daemonId: member.daemonId,
      reservedCount: member.reservedCount,
      presumedUsedCount: member.presumedUsedCount,
      openedAtMs: Number(member.openedAtMs),
      sequence: Number(member.sequence),
      usedTotal: Number(member.usedTotal),
      baseTotal: Number(member.baseTotal),
    })),
    windows: windows.length === 0 ? undefined : windows,
  };
}

/** Decodes the key of an account; throws when the class is unknown. */
export function decodeKey(account: AccountName | undefined): AccountKey {
  const requestClass = Object.values(RequestClass)
    .find((value) => value === account?.requestClass);
  if (account === undefined || requestClass === undefined) {
    throw new RangeError(`unknown request class ${account?.requestClass}`);
  }
  return { customer: account.customer, requestClass };
}

function decodeWindowKind(text: string): WindowKind {
  const kind = Object.values(WindowKind).find((value) => value === text);
  if (kind === undefined) throw new RangeError(`unknown window kind ${text}`);
  return kind;
}
