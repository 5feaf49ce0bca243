/** Explains a refusal by its step and by the list line that set the limit. */
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ListTexts } from "../lists/lists.ts";
import type { RefusalRecord } from "../pipeline/refusal_history.ts";

/** Matches the list and the line in a limit's name: `allowances.yaml:12`. */
const listLinePattern = /\b(plans|allowances)\.yaml:(\d+)/;

/** Builds the explanation of one refusal. */
export function explainRefusal(
  services: ServiceLookup,
  record: RefusalRecord,
) {
  const { failure } = record;
  const listLine = tryFindListLine(services, record);
  return {
    requestId: record.requestId,
    daemonId: services.get(ServiceName.Membership).self().daemonId,
    wallTimeMs: BigInt(Math.round(record.wallTimeMs)),
    customer: record.customer ?? "",
    service: record.service ?? "",
    key: record.key ?? "",
    code: failure.code,
    message: failure.message,
    step: failure.step,
    peer: failure.peer ?? "",
    outcome: failure.outcome,
    limitName: failure.limitName ?? "",
    listsVersion: BigInt(record.listsVersion ?? 0),
    retryAfterMs: BigInt(Math.round(failure.retryAfterMs ?? 0)),
    ...(listLine === undefined ? {} : { listLine }),
  };
}

/**
 * Returns the line that set the limit; undefined when the refusal names no
 * line. Includes the text only while that version of the lists is in force.
 */
function tryFindListLine(services: ServiceLookup, record: RefusalRecord) {
  const match = listLinePattern.exec(record.failure.limitName ?? "");
  if (match === null) return undefined;
  const listName = `${match[1]}.yaml`;
  const line = Number(match[2]);
  const lists = services.tryGet(ServiceName.Lists);
  const isInForce = lists?.current()?.version === record.listsVersion;
  const texts = isInForce ? lists?.currentTexts() : undefined;
  return { listName, line, text: readLine(texts, { listName, line }) };
}

function readLine(
  texts: ListTexts | undefined,
  { listName, line }: { readonly listName: string; readonly line: number },
): string {
  if (texts === undefined) return "";
  const text = listName === "plans.yaml"
    ? texts.plansText
    : texts.allowancesText;
  return text.split("\n")[line - 1]?.trim() ?? "";
}
