/**
 * The table of log events: the severity of each event, the fields that its log
 * lines may have, its meaning, and what an operator should do. The table in
 * docs/OPERATIONS.md is generated from it.
 */

/** The severity of a log line. */
export enum LogLevel {
  Info = "info",
  /** An operator should look into the cause. */
  Warn = "warn",
  /** The daemon cannot recover without an operator. */
  Error = "error",
}

/** The log events; each value is written to the field `event`. */
export enum LogEvent {
  AcceptedListsUnreadable = "accepted lists are not readable",
  AnswerTruncated = "answer broken off",
  BackendServerChangedState = "backend server changed state",
  BecameCoordinator = "became coordinator",
  CapacityChanged = "capacity of a server changed",
  CallersDisconnected = "callers left",
  CallerStalled = "caller reads nothing",
  ConfigurationEntriesUnusable = "configuration entries not usable",
  ConfigurationInForce = "configuration in force",
  ConfigurationRefused = "configuration refused",
  CoordinatorChanged = "coordinator changed",
  DaemonCouldNotStart = "daemon could not start",
  DaemonLeaving = "daemon leaving",
  DaemonStarted = "daemon started",
  DaemonStateChanged = "daemon state changed",
  DaemonStopped = "daemon stopped",
  DrainOrdered = "an operator ordered the drain",
  DrainTimeoutPassed = "drain timeout passed",
  EvacuationBegun = "evacuation begun",
  EvacuationEnded = "evacuation ended",
  FleetRowMalformed = "fleet row malformed",
  GrantFailed = "grant failed",
  GranterAnnouncementFailed = "granter announcement failed",
  KeyGranterUnreachable = "key granter out of reach",
  HoldsWaitedOut = "holds waited out",
  KeyGranterTermBegun = "key granter term begun",
  KeyGranterTermEnded = "key granter term ended",
  KeysReassigned = "keys move",
  LeaseReadFailed = "lease look failed",
  LeaseRenewalFailed = "lease renewal failed",
  ListsInForce = "lists in force",
  LogLinesOmitted = "log lines omitted",
  RangeGranted = "range granted",
  ReleaseFailed = "release failed",
  Refused = "refused",
  Request = "request",
  RequestBodyTruncated = "request body broken off",
  RequestFailed = "request failed",
  RequestMalformed = "request malformed",
  ServerAvoided = "server avoided",
  ServerCold = "server cold",
  ServerDraining = "server draining",
  ServerLeaving = "server announced that it leaves",
  ServerPaused = "server asked for a pause",
  ServerEntryMalformed = "server entry malformed",
  ServerRemoved = "server gone",
  ServerReadmitted = "server readmitted",
  ServerRegistered = "server registered",
  ServerUnconfirmed = "server may have restarted",
  ServerWarm = "server warm",
  ServersEvacuated = "servers evacuated",
  ServersRead = "servers read",
  SettingsRead = "settings read",
  SettingsRefused = "settings refused",
  StepFailed = "step failed",
  StoppedCoordinating = "stopped coordinating",
  StoreEraBegun = "store era begun",
  StoreEraMissing = "store era missing",
  SyncRequestRefused = "sync request refused",
  TablesCopiedFromPeer = "tables copied from a peer",
  TablesConnected = "tables connected again",
  TablesCutOff = "tables cut off",
  TableFeedEstablished = "table feed established",
  TableFeedLost = "table feed lost",
  TableHistoryDiscarded = "table history gone",
  TablesReadFromStore = "tables read from the store",
  TablesRelayed = "tables relayed",
  UnhandledError = "unhandled error",
}

/** The description of one event. */
export interface LogEventDefinition {
  readonly level: LogLevel;
  /** The fields of the event besides time, daemon, level and event. */
  readonly fields: readonly string[];
  readonly meaning: string;
  /** What an operator does; empty when there is nothing to do. */
  readonly advice: string;
}

const serverEntryFields = [
  "server",
  "bornAtMs",
  "service",
  "address",
  "rowVersion",
] as const;

const failedGrantFields = [
  "service",
  "server",
  "peer",
  "first",
  "last",
  "fence",
  "ending",
  "reason",
] as const;

const definitions = {
  [LogEvent.DaemonStarted]: {
    level: LogLevel.Info,
    fields: ["zone", "store"],
    meaning: "the daemon accepts connections",
    advice: "",
  },
  [LogEvent.DaemonCouldNotStart]: {
    level: LogLevel.Error,
    fields: ["reason"],
    meaning: "the process ends with exit code 1",
    advice:
      "correct what the reason names, such as an address that is already in use",
  },
  [LogEvent.DaemonLeaving]: {
    level: LogLevel.Info,
    fields: ["graceMs"],
    meaning: "the daemon received SIGTERM and begins to drain",
    advice: "",
  },
  [LogEvent.CallersDisconnected]: {
    level: LogLevel.Info,
    fields: ["cutOffCount", "tookMs"],
    meaning:
      "all callers are disconnected; `cutOffCount` requests were still in progress when the grace time ended",
    advice:
      "if the count is above 0, compare the grace time with the routes' timeouts",
  },
  [LogEvent.CallerStalled]: {
    level: LogLevel.Info,
    fields: [
      "waitingBytes",
      "stalledMs",
      "requestCount",
      "memory",
      "unreadAnswerBytes",
    ],
    meaning:
      "a caller took none of the bytes that wait for it, and its connection with `requestCount` open requests was reset; `memory` says how much of what may be held for slow callers was in use",
    advice:
      "if there are many while `memory` is ample, look into the callers or the network between",
  },
  [LogEvent.DaemonStopped]: {
    level: LogLevel.Info,
    fields: [],
    meaning: "the process is about to end",
    advice: "",
  },
  [LogEvent.DaemonStateChanged]: {
    level: LogLevel.Info,
    fields: ["state", "reason"],
    meaning:
      "the daemon's readiness changed; the reason names what it waits for",
    advice: "if the daemon stays unready, look into what the reason names",
  },
  [LogEvent.DrainOrdered]: {
    level: LogLevel.Info,
    fields: [],
    meaning: "an operator ran `skylarkridge drain`",
    advice: "",
  },
  [LogEvent.DrainTimeoutPassed]: {
    level: LogLevel.Warn,
    fields: ["cutOffCount"],
    meaning: "requests were still in progress when the drain timed out",
    advice: "compare the drain timeout with the requests' deadlines",
  },
  [LogEvent.UnhandledError]: {
    level: LogLevel.Error,
    fields: ["code", "error", "stack"],
    meaning: "no task caught the error; the process ends",
    advice: "report the error with its stack",
  },
  [LogEvent.SettingsRead]: {
    level: LogLevel.Info,
    fields: ["isChanged", "appliesAt"],
    meaning:
      "the settings were read again after SIGHUP; changed values apply at the next start",
    advice: "",
  },
  [LogEvent.SettingsRefused]: {
    level: LogLevel.Error,
    fields: ["reason"],
    meaning:
      "the settings read after SIGHUP are invalid; the settings in force stay",
    advice: "correct the field that the reason names",
  },
  [LogEvent.ConfigurationInForce]: {
    level: LogLevel.Info,
    fields: [
      "version",
      "versionBefore",
      "routeCount",
      "rowVersion",
      "source",
      "era",
      "silentMs",
    ],
    meaning:
      "the configuration changed from `versionBefore` to `version`; `source` supplied it, and `silentMs` earlier the copy was last known to be current",
    advice: "",
  },
  [LogEvent.ConfigurationEntriesUnusable]: {
    level: LogLevel.Error,
    fields: ["version", "defectCount", "reason"],
    meaning:
      "a version is in force, but entries of it are malformed or of an unknown kind: routes with a malformed field are refused as not run, routes of an unknown kind are never repeated, and malformed limits have their defaults",
    advice: "correct the entries that the reason names",
  },
  [LogEvent.ConfigurationRefused]: {
    level: LogLevel.Error,
    fields: ["reason", "rowVersion", "versionInForce"],
    meaning:
      "a new configuration is invalid; the reason names the field, and the old version stays in force",
    advice: "write a valid version of the configuration",
  },
  [LogEvent.ListsInForce]: {
    level: LogLevel.Info,
    fields: ["version", "author"],
    meaning: "the customers' lists changed",
    advice: "",
  },
  [LogEvent.AcceptedListsUnreadable]: {
    level: LogLevel.Error,
    fields: ["version"],
    meaning: "an accepted version of the lists cannot be decoded",
    advice: "compare the releases of the daemons and of the operators' tool",
  },
  [LogEvent.TableFeedEstablished]: {
    level: LogLevel.Info,
    fields: ["table", "afterVersion", "silentMs"],
    meaning:
      "the store answers; `silentMs` is the time since its previous answer",
    advice: "",
  },
  [LogEvent.TableFeedLost]: {
    level: LogLevel.Warn,
    fields: ["table", "error", "version"],
    meaning: "the store does not answer",
    advice:
      "restore the store; without it no keys are reassigned, and all keys are served for about eight seconds",
  },
  [LogEvent.StoreEraBegun]: {
    level: LogLevel.Warn,
    fields: ["era", "eraBefore", "versions"],
    meaning:
      "the store came back from an older copy; `versions` are those of this daemon's copies, which are replaced. What the router wrote since that copy was taken is written again",
    advice:
      "look for `key granter term begun` and `holds waited out` in the seconds after it, on all daemons",
  },
  [LogEvent.StoreEraMissing]: {
    level: LogLevel.Warn,
    fields: ["era"],
    meaning:
      "an answer of the store has no era, or one that is no whole number; it counts as one of the era that is known. Logged once",
    advice: "ask the platform which release of the store answers",
  },
  [LogEvent.HoldsWaitedOut]: {
    level: LogLevel.Warn,
    fields: ["service", "waitMs", "era"],
    meaning:
      "the key granter can't know all holds that were granted before the store came back from an older copy, so it grants no key until they have certainly ended",
    advice:
      "requests for keys are refused as not run in the meantime; the wait ends by itself",
  },
  [LogEvent.TableHistoryDiscarded]: {
    level: LogLevel.Info,
    fields: ["table", "afterVersion"],
    meaning:
      "the store has discarded the changes after the version of this copy; the table is read again in full",
    advice: "",
  },
  [LogEvent.TablesCutOff]: {
    level: LogLevel.Warn,
    fields: ["tables", "version"],
    meaning:
      "the store does not answer for these tables, and the key granter does not relay them; the daemon asks other daemons for the changes after `version`",
    advice:
      "compare `table feed lost` and `key granter out of reach` before it, and look at the store and at the granter's machine",
  },
  [LogEvent.TablesCopiedFromPeer]: {
    level: LogLevel.Info,
    fields: ["peer", "version"],
    meaning:
      "while this daemon is cut off, another daemon supplies it with changes, so far up to `version` of the store",
    advice: "",
  },
  [LogEvent.TablesConnected]: {
    level: LogLevel.Info,
    fields: ["isRelayed", "cutOffMs"],
    meaning:
      "the store, or the key granter if `isRelayed`, supplies the tables again after `cutOffMs`",
    advice: "",
  },
  [LogEvent.TablesRelayed]: {
    level: LogLevel.Info,
    fields: [],
    meaning: "this daemon receives table changes from the key granter",
    advice: "",
  },
  [LogEvent.TablesReadFromStore]: {
    level: LogLevel.Info,
    fields: [],
    meaning: "this daemon reads table changes from the store itself",
    advice:
      "if this event and `tables relayed` often alternate, look at the granter's machine",
  },
  [LogEvent.KeyGranterUnreachable]: {
    level: LogLevel.Warn,
    fields: ["peer", "error"],
    meaning: "a sync request to the key granter failed",
    advice:
      "if the granter is lost, another daemon takes over within about three seconds",
  },
  [LogEvent.SyncRequestRefused]: {
    level: LogLevel.Warn,
    fields: ["peer", "reason"],
    meaning: "a peer's sync request cannot be decoded",
    advice: "compare the releases of the daemons",
  },
  [LogEvent.FleetRowMalformed]: {
    level: LogLevel.Error,
    fields: ["row", "reason"],
    meaning: "a row that a daemon of the fleet wrote cannot be decoded",
    advice: "compare the releases of the daemons",
  },
  [LogEvent.LeaseReadFailed]: {
    level: LogLevel.Warn,
    fields: ["error"],
    meaning:
      "the lease could not be read from the store, so that this daemon does not know whether a granter is needed",
    advice: "look at the store",
  },
  [LogEvent.LeaseRenewalFailed]: {
    level: LogLevel.Warn,
    fields: ["error", "term"],
    meaning: "the granter could not renew its lease; it retries",
    advice: "look at the store",
  },
  [LogEvent.GranterAnnouncementFailed]: {
    level: LogLevel.Warn,
    fields: ["error", "retryWithinMs"],
    meaning:
      "the granter could not write its address to the store, so that the other daemons cannot reach it yet; it retries",
    advice: "look at the store",
  },
  [LogEvent.KeyGranterTermBegun]: {
    level: LogLevel.Info,
    fields: ["term", "era", "isContinued"],
    meaning:
      "this daemon became the key granter, or goes on as such in a new era of the store (`isContinued`)",
    advice:
      "if several terms begin within a minute, look at the store's errors and latency",
  },
  [LogEvent.KeyGranterTermEnded]: {
    level: LogLevel.Info,
    fields: ["reason"],
    meaning: "this daemon is no longer the key granter",
    advice: "",
  },
  [LogEvent.KeysReassigned]: {
    level: LogLevel.Info,
    fields: [
      "service",
      "moveCount",
      "keyCount",
      "isBalancing",
      "serverCount",
    ],
    meaning:
      "keys are reassigned to other servers, to balance load or because servers were added or removed",
    advice: "see walk 3",
  },
  [LogEvent.RangeGranted]: {
    level: LogLevel.Info,
    fields: [
      "service",
      "server",
      "first",
      "last",
      "fence",
      "holdMs",
      "hasHandover",
    ],
    meaning: "a server owns the keys from `first` to `last`",
    advice: "",
  },
  [LogEvent.GrantFailed]: {
    level: LogLevel.Warn,
    fields: failedGrantFields,
    meaning: "the server did not accept its keys; the grant is retried",
    advice: "look at that server",
  },
  [LogEvent.ReleaseFailed]: {
    level: LogLevel.Warn,
    fields: failedGrantFields,
    meaning:
      "the server did not release its keys; their next owner waits until the hold expires",
    advice: "look at that server",
  },
  [LogEvent.BecameCoordinator]: {
    level: LogLevel.Info,
    fields: ["epoch"],
    meaning: "this daemon became the coordinator",
    advice: "",
  },
  [LogEvent.CoordinatorChanged]: {
    level: LogLevel.Info,
    fields: ["epoch", "holder"],
    meaning: "another daemon became the coordinator",
    advice: "",
  },
  [LogEvent.StoppedCoordinating]: {
    level: LogLevel.Warn,
    fields: ["epoch", "cause"],
    meaning: "this daemon is no longer the coordinator",
    advice:
      "if the coordinator changes several times a minute, look at the platform's table service",
  },
  [LogEvent.StepFailed]: {
    level: LogLevel.Error,
    fields: ["step", "error"],
    meaning: "a step of a control task failed; it is retried",
    advice: "report the error if it repeats",
  },
  [LogEvent.EvacuationBegun]: {
    level: LogLevel.Info,
    fields: ["zone", "rowVersion"],
    meaning:
      "an operator has evacuated the data centre; its servers receive no further requests",
    advice: "",
  },
  [LogEvent.EvacuationEnded]: {
    level: LogLevel.Info,
    fields: ["zone", "rowVersion", "lastedMs"],
    meaning:
      "an operator has ended the evacuation; a version is missing when a snapshot of the table lacks the row",
    advice: "",
  },
  [LogEvent.ServersEvacuated]: {
    level: LogLevel.Info,
    fields: ["zones", "serverCount", "usableCount"],
    meaning:
      "after a change of the evacuations: registered servers that receive nothing because of them, and servers that are left",
    advice:
      "if few servers are left, expect refusals, least urgent routes first",
  },
  [LogEvent.ServersRead]: {
    level: LogLevel.Info,
    fields: ["serverCount", "malformedCount"],
    meaning: "the server entries were read for the first time",
    advice: "",
  },
  [LogEvent.ServerRegistered]: {
    level: LogLevel.Info,
    fields: serverEntryFields,
    meaning: "a server registered for the first time or after a restart",
    advice: "",
  },
  [LogEvent.ServerLeaving]: {
    level: LogLevel.Info,
    fields: ["server", "isRegistered", "wasDraining"],
    meaning:
      "a server said in an answer, to this daemon or another one, that it is about to stop; this incarnation gets no new requests, and its keys move",
    advice: "",
  },
  [LogEvent.ServerPaused]: {
    level: LogLevel.Info,
    fields: ["server", "service", "pauseMs"],
    meaning:
      "a server that refused a request wants nothing from this daemon for `pauseMs`; requests go to other servers, and requests for its keys are refused as not run",
    advice: "",
  },
  [LogEvent.ServerCold]: {
    level: LogLevel.Info,
    fields: ["server", "service", "source", "coldLeftMs", "rowVersion"],
    meaning:
      "a server is cold for `coldLeftMs` longer, by its row or by a health check (`source`); the fleet sends it only the cold rate of its service",
    advice: "",
  },
  [LogEvent.ServerUnconfirmed]: {
    level: LogLevel.Info,
    fields: ["server", "service"],
    meaning:
      "a connection to a server was refused or broke; until a health check answers, it is treated like a cold one",
    advice: "",
  },
  [LogEvent.ServerWarm]: {
    level: LogLevel.Info,
    fields: ["server", "service", "tookMs"],
    meaning:
      "a server that was cold for `tookMs` gets its part again, by degrees",
    advice: "",
  },
  [LogEvent.CapacityChanged]: {
    level: LogLevel.Info,
    fields: [
      "server",
      "service",
      "concurrency",
      "slownessFactor",
      "concurrencyBefore",
      "slownessFactorBefore",
      "sampleCount",
      "sampleAgeMs",
      "version",
    ],
    meaning:
      "the key granter's estimate of how many requests a server runs at once before its answers get slower, or of how slow it is relative to its service, changed much; it was made from `sampleCount` answers, of which the newest were counted `sampleAgeMs` ago",
    advice:
      "if one server stays slow, look at its machine; if all servers of a service have a low concurrency, add servers",
  },
  [LogEvent.ServerDraining]: {
    level: LogLevel.Info,
    fields: serverEntryFields,
    meaning: "a server is draining; its keys are reassigned",
    advice: "",
  },
  [LogEvent.ServerRemoved]: {
    level: LogLevel.Info,
    fields: ["server"],
    meaning: "a server's entry was removed",
    advice: "",
  },
  [LogEvent.ServerEntryMalformed]: {
    level: LogLevel.Warn,
    fields: ["reason"],
    meaning: "a server entry cannot be decoded",
    advice: "find out what wrote the row",
  },
  [LogEvent.ServerAvoided]: {
    level: LogLevel.Warn,
    fields: ["server", "peer", "service", "ending", "reason"],
    meaning: "requests go to other servers until a health check succeeds",
    advice: "look at that server",
  },
  [LogEvent.ServerReadmitted]: {
    level: LogLevel.Info,
    fields: ["server", "peer"],
    meaning: "a health check succeeded; the server receives requests again",
    advice: "",
  },
  [LogEvent.BackendServerChangedState]: {
    level: LogLevel.Warn,
    fields: ["serverId", "from", "to"],
    meaning: "this daemon's view of the server's health changed",
    advice: "look at that server",
  },
  [LogEvent.Request]: {
    level: LogLevel.Info,
    fields: [
      "id",
      "route",
      "service",
      "key",
      "ending",
      "reason",
      "status",
      "server",
      "sends",
      "trail",
      "tookMs",
      "configuration",
      "ownersVersion",
    ],
    meaning:
      "the outcome of a request, and the versions that its routing was based on",
    advice: "see the walks above",
  },
  [LogEvent.Refused]: {
    level: LogLevel.Info,
    fields: ["id", "status", "reason", "retryAfterMs"],
    meaning: "the daemon refused a request instead of forwarding it",
    advice: "see the walks above",
  },
  [LogEvent.RequestMalformed]: {
    level: LogLevel.Info,
    fields: ["reason"],
    meaning: "a caller sent bytes that are not valid HTTP",
    advice: "",
  },
  [LogEvent.RequestBodyTruncated]: {
    level: LogLevel.Info,
    fields: ["reason"],
    meaning: "a caller disconnected before it had sent its whole request body",
    advice: "",
  },
  [LogEvent.RequestFailed]: {
    level: LogLevel.Error,
    fields: ["error"],
    meaning: "an internal error occurred; the caller's connection is closed",
    advice: "report the error",
  },
  [LogEvent.LogLinesOmitted]: {
    level: LogLevel.Warn,
    fields: ["omittedCount"],
    meaning:
      "`omittedCount` log lines were dropped because there were too many",
    advice: "use the counters at the metrics address, which omit nothing",
  },
  [LogEvent.AnswerTruncated]: {
    level: LogLevel.Warn,
    fields: ["reason"],
    meaning:
      "a streamed answer was cut short on the side of its server or of its caller",
    advice: "",
  },
} as const satisfies Record<LogEvent, LogEventDefinition>;

type LogValue = string | number | boolean | undefined;

/** The fields that a log line of the event may have. */
export type LogFields<E extends LogEvent> = {
  readonly [F in typeof definitions[E]["fields"][number]]?: LogValue;
};

export function getLogEventDefinition(event: LogEvent): LogEventDefinition {
  return definitions[event];
}
