/**
 * The table of user-facing messages. Codes are stable, since callers and
 * operators may match on them. `{0}` is replaced by the detail of the failure.
 */

/** The stable codes of all messages to callers and operators. */
export enum MessageCode {
  ServiceMissing = "SR1001",
  ServiceDuplicate = "SR1002",
  ServiceCycle = "SR1003",
  SettingInvalid = "SR1101",
  CommandLineInvalid = "SR1102",
  RequestMalformed = "SR2001",
  CustomerUnknown = "SR2002",
  ServiceUnknown = "SR2003",
  KeyInvalid = "SR2004",
  BodyTooLarge = "SR2005",
  BodyTruncated = "SR2006",
  DeadlineExceeded = "SR2007",
  RequestCancelled = "SR2008",
  DaemonDraining = "SR2009",
  HeadersTooLarge = "SR2010",
  RequestTimeout = "SR2011",
  MethodUnsupported = "SR2012",
  ExpectationUnsupported = "SR2013",
  NoOwner = "SR3001",
  NotHome = "SR3002",
  PermitExpired = "SR3003",
  KeyMoving = "SR3004",
  FenceRefused = "SR3005",
  LimitExceeded = "SR4001",
  Overloaded = "SR4002",
  RetryBudgetSpent = "SR4003",
  BackendUnreachable = "SR5001",
  BackendRefused = "SR5002",
  OutcomeUnknown = "SR5003",
  AnswerTruncated = "SR5004",
  DuplicateInProgress = "SR5005",
  DuplicateAnswerExpired = "SR5006",
  PeerUnreachable = "SR6001",
  PeerUnauthorized = "SR6002",
  PlatformUnavailable = "SR7001",
  PlatformAnswerLost = "SR7002",
  StoreHistoryDiscarded = "SR7003",
  ListInvalid = "SR8001",
  ListConflict = "SR8002",
  ListsMissing = "SR8003",
  Internal = "SR9001",
}

const messageTexts: Record<MessageCode, string> = {
  [MessageCode.ServiceMissing]: "service {0} is not registered",
  [MessageCode.ServiceDuplicate]: "service {0} is already registered",
  [MessageCode.ServiceCycle]: "service {0} needs itself",
  [MessageCode.SettingInvalid]: "{0}",
  [MessageCode.CommandLineInvalid]: "{0}",
  [MessageCode.RequestMalformed]: "the request is malformed: {0}",
  [MessageCode.CustomerUnknown]: "customer {0} is not in the list of plans",
  [MessageCode.ServiceUnknown]: "service {0} is not configured",
  [MessageCode.KeyInvalid]: "the key is invalid: {0}",
  [MessageCode.BodyTooLarge]: "the request body exceeds {0}",
  [MessageCode.BodyTruncated]: "the request body ended early",
  [MessageCode.DeadlineExceeded]: "the deadline passed: {0}",
  [MessageCode.RequestCancelled]: "the caller cancelled the request",
  [MessageCode.DaemonDraining]: "the daemon is draining",
  [MessageCode.HeadersTooLarge]: "the request head exceeds {0}",
  [MessageCode.RequestTimeout]: "the request did not arrive in time",
  [MessageCode.MethodUnsupported]: "the method is not supported: {0}",
  [MessageCode.ExpectationUnsupported]: "the expectation is not supported",
  [MessageCode.NoOwner]: "no backend server owns the key: {0}",
  [MessageCode.NotHome]: "this daemon is not the home of {0}",
  [MessageCode.PermitExpired]: "the routing permit has lapsed",
  [MessageCode.KeyMoving]: "the key is moving to another backend server",
  [MessageCode.FenceRefused]: "the backend server refused the fence: {0}",
  [MessageCode.LimitExceeded]: "limit {0} is exhausted",
  [MessageCode.Overloaded]: "the request was shed under overload: {0}",
  [MessageCode.RetryBudgetSpent]: "the retry budget is spent: {0}",
  [MessageCode.BackendUnreachable]: "the backend server is unreachable: {0}",
  [MessageCode.BackendRefused]: "the backend server refused the request: {0}",
  [MessageCode.OutcomeUnknown]: "the request may have run: {0}",
  [MessageCode.AnswerTruncated]: "the answer was cut short: {0}",
  [MessageCode.DuplicateInProgress]:
    "a request with the same idempotency key is in progress",
  [MessageCode.DuplicateAnswerExpired]:
    "the request ran before and its answer is no longer kept",
  [MessageCode.PeerUnreachable]: "the peer daemon is unreachable: {0}",
  [MessageCode.PeerUnauthorized]: "the peer secret is missing or wrong",
  [MessageCode.PlatformUnavailable]: "the platform is unavailable: {0}",
  [MessageCode.PlatformAnswerLost]:
    "the platform's answer was lost; the write may have taken effect: {0}",
  [MessageCode.StoreHistoryDiscarded]:
    "the store no longer has the history that was asked for: {0}",
  [MessageCode.ListInvalid]: "{0}",
  [MessageCode.ListConflict]: "the lists changed since they were read: {0}",
  [MessageCode.ListsMissing]: "no lists are in force yet",
  [MessageCode.Internal]: "internal error: {0}",
};

/** Returns the text of a code with `{0}` not yet replaced. */
export function getMessageText(code: MessageCode): string {
  return messageTexts[code];
}

/** Codes whose detail comes from the caller's own request or plan, so that callers may see it. */
const codesWithPublicDetail: ReadonlySet<MessageCode> = new Set([
  MessageCode.RequestMalformed,
  MessageCode.CustomerUnknown,
  MessageCode.ServiceUnknown,
  MessageCode.KeyInvalid,
  MessageCode.BodyTooLarge,
  MessageCode.HeadersTooLarge,
  MessageCode.MethodUnsupported,
  MessageCode.LimitExceeded,
]);

/**
 * Renders a message for callers, without step and peer. The detail is left out
 * where it could name a part of the system.
 */
export function formatPublicMessage(
  code: MessageCode,
  detail: string | undefined,
): string {
  const text = messageTexts[code];
  if (codesWithPublicDetail.has(code)) return text.replace("{0}", detail ?? "");
  return text.replace(/:? ?\{0\}/, "");
}

/** Renders a message with its step and peer. */
export function formatMessage(
  code: MessageCode,
  step: string,
  context: { readonly peer?: string; readonly detail?: string },
): string {
  const text = messageTexts[code].replace("{0}", context.detail ?? "");
  const peer = context.peer === undefined ? "" : ` (peer ${context.peer})`;
  return `${code} ${step}: ${text}${peer}`;
}
