/**
 * The Connect service of the lists: serves operators, and peers that cannot
 * read the lists from the platform. Also fetches the lists from peers.
 */
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import {
  type GetListsResponse,
  ListsService,
} from "../../gen/skylarkridge/v1/lists_pb.ts";
import { MessageCode } from "../../diagnostics/messages.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { RouterError } from "../../types/errors.ts";
import type { DaemonInfo } from "../../types/types.ts";
import { formatListIssue } from "./list_issue.ts";
import type { Lists, ListsRevision, ListTexts } from "./lists.ts";
import { hashTexts } from "./lists_codec.ts";
import { parseLists } from "./parse_lists.ts";

const queriedPeerCount = 3;
const emptyTexts: ListTexts = { plansText: "", allowancesText: "" };

/** Registers the service on the peer listener. */
export function registerListsService(
  services: ServiceLookup,
  lists: Lists,
): void {
  services.get(ServiceName.PeerServer).addConnectService(ListsService, {
    getLists: ({ versionOnly }) => getLists(services, { lists, versionOnly }),
    checkLists: ({ texts }) => {
      const { errors, warnings } = parseLists(texts ?? emptyTexts);
      return {
        errors: errors.map(formatListIssue),
        warnings: warnings.map(formatListIssue),
      };
    },
    applyLists: async ({ texts, baseVersion, author }) => {
      const applied = await lists.apply(texts ?? emptyTexts, {
        baseVersion: Number(baseVersion),
        author,
      });
      if (applied.isErr()) throw toConnectError(applied.error);
      return { version: BigInt(applied.value.version) };
    },
    listRevisions: async () => {
      const revisions = await lists.revisions();
      if (revisions.isErr()) throw toConnectError(revisions.error);
      return { revisions: revisions.value.map(encodeRevision) };
    },
  });
}

function getLists(
  services: ServiceLookup,
  { lists, versionOnly }: {
    readonly lists: Lists;
    readonly versionOnly: boolean;
  },
) {
  const texts = versionOnly ? undefined : lists.currentTexts();
  const revision = lists.currentRevision();
  return {
    ...(revision === undefined ? {} : { revision: encodeRevision(revision) }),
    ...(texts === undefined ? {} : { texts }),
    freshness: lists.freshness(),
    daemonId: services.get(ServiceName.Membership).self().daemonId,
  };
}

function encodeRevision(revision: ListsRevision) {
  return {
    ...revision,
    version: BigInt(revision.version),
    wallTimeMs: BigInt(revision.wallTimeMs),
  };
}

function toConnectError(error: RouterError): ConnectError {
  return new ConnectError(error.message, connectCodeOf(error));
}

function connectCodeOf(error: RouterError): Code {
  switch (error.code) {
    case MessageCode.ListInvalid:
      return Code.InvalidArgument;
    case MessageCode.ListConflict:
      return Code.Aborted;
    case MessageCode.PlatformUnavailable:
      return Code.Unavailable;
    case MessageCode.PlatformAnswerLost:
      return Code.Unknown;
    default:
      return Code.Internal;
  }
}

/** A peer's copy of the lists. */
export interface PeerLists {
  readonly revision: ListsRevision;
  readonly texts: ListTexts;
}

/** Queries a few random peers in parallel and returns the copy with the highest version. */
export async function fetchNewestLists(
  services: ServiceLookup,
): Promise<PeerLists | undefined> {
  const peers = choosePeers(services);
  const answers = await Promise.all(
    peers.map((peer) => tryFetchLists(services, peer)),
  );
  return answers
    .filter((answer) => answer !== undefined)
    .sort((a, b) => b.revision.version - a.revision.version)[0];
}

function choosePeers(services: ServiceLookup): DaemonInfo[] {
  const membership = services.get(ServiceName.Membership);
  const random = services.get(ServiceName.Random);
  const selfId = membership.self().daemonId;
  const peers = membership.daemons()
    .filter(({ daemonId }) => daemonId !== selfId);
  const chosen: DaemonInfo[] = [];
  while (chosen.length < queriedPeerCount && peers.length > 0) {
    chosen.push(...peers.splice(random.nextInt(peers.length), 1));
  }
  return chosen;
}

async function tryFetchLists(
  services: ServiceLookup,
  peer: DaemonInfo,
): Promise<PeerLists | undefined> {
  const transport = services.get(ServiceName.PeerTransport)
    .connectTo(peer.address);
  try {
    return tryDecodeLists(
      await createClient(ListsService, transport).getLists({}),
    );
  } catch {
    return undefined;
  }
}

/** Decodes a copy; undefined unless its texts have the hash of their revision. */
function tryDecodeLists(
  { revision, texts }: GetListsResponse,
): PeerLists | undefined {
  if (revision === undefined || texts === undefined) return undefined;
  const { plansText, allowancesText } = texts;
  const received = { plansText, allowancesText };
  if (hashTexts(received) !== revision.contentHash) return undefined;
  return {
    revision: {
      version: Number(revision.version),
      author: revision.author,
      wallTimeMs: Number(revision.wallTimeMs),
      writeId: revision.writeId,
      contentHash: revision.contentHash,
    },
    texts: received,
  };
}
