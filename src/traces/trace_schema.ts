/**
 * The format of a recorded trace: JSON Lines, one header followed by the events
 * in order of time. docs/TRACES.md explains each field.
 */
import { z } from "zod";
import { FencingMode, RequestClass } from "../types/enums.ts";

/** What a line of a trace describes. */
export enum TraceEventKind {
  Header = "header",
  Request = "request",
  HotKeyShift = "hot-key-shift",
  ServerJoin = "server-join",
  ServerDrain = "server-drain",
  ServerStall = "server-stall",
  ServerKill = "server-kill",
  DaemonKill = "daemon-kill",
  DaemonFreeze = "daemon-freeze",
  DaemonThaw = "daemon-thaw",
  StoreOutage = "store-outage",
  ListEdit = "list-edit",
}

/** The version of the format; a trace with any other version is rejected. */
export const traceFormat = 1;

/** The methods of requests in traces; a POST is not idempotent. */
export enum TraceMethod {
  Get = "GET",
  Post = "POST",
}

const instantMsSchema = z.number().int().min(0);
const durationMsSchema = z.number().int().min(1);
const nameSchema = z.string().min(1);
const fractionSchema = z.number().min(0).max(1);

const traceServiceSchema = z.strictObject({
  name: nameSchema,
  requestClass: z.enum(RequestClass),
  fencingMode: z.enum(FencingMode),
  shardCount: z.number().int().min(1),
  slotsPerServer: z.number().int().min(1),
  connectionsPerServer: z.number().int().min(2),
  churnWeight: z.number().min(0),
  serverCount: z.number().int().min(1),
  serviceTimeMs: durationMsSchema,
  keyCount: z.number().int().min(1),
  zipfExponent: z.number().min(0),
  /** Share of the trace's requests that this service receives. */
  requestShare: fractionSchema,
});

const headerSchema = z.strictObject({
  kind: z.literal(TraceEventKind.Header),
  format: z.literal(traceFormat),
  name: nameSchema,
  seed: z.number().int(),
  durationMs: durationMsSchema,
  /** Mean over the whole trace. */
  requestsPerSecond: z.number().positive(),
  daemonCount: z.number().int().min(1),
  dataCentres: z.array(nameSchema).min(1),
  /** One-way delay between data centres. */
  dataCentreDelayMs: z.number().min(0),
  /** One-way delay between callers and data centres. */
  callerDelayMs: z.number().min(0),
  services: z.array(traceServiceSchema).min(1),
});

const requestSchema = z.strictObject({
  kind: z.literal(TraceEventKind.Request),
  atMs: instantMsSchema,
  service: nameSchema,
  key: nameSchema,
  customer: nameSchema,
  method: z.enum(TraceMethod),
  idempotencyKey: nameSchema.optional(),
});

const hotKeyShiftSchema = z.strictObject({
  kind: z.literal(TraceEventKind.HotKeyShift),
  atMs: instantMsSchema,
  service: nameSchema,
  hotKeys: z.array(z.strictObject({ key: nameSchema, share: fractionSchema })),
});

const serverEventSchema = z.strictObject({
  kind: z.enum([
    TraceEventKind.ServerJoin,
    TraceEventKind.ServerDrain,
    TraceEventKind.ServerKill,
  ]),
  atMs: instantMsSchema,
  service: nameSchema,
  serverId: nameSchema,
});

const serverStallSchema = z.strictObject({
  kind: z.literal(TraceEventKind.ServerStall),
  atMs: instantMsSchema,
  service: nameSchema,
  serverId: nameSchema,
  durationMs: durationMsSchema,
});

const daemonEventSchema = z.strictObject({
  kind: z.enum([
    TraceEventKind.DaemonKill,
    TraceEventKind.DaemonFreeze,
    TraceEventKind.DaemonThaw,
  ]),
  atMs: instantMsSchema,
  daemonIndex: z.number().int().min(0),
});

const storeOutageSchema = z.strictObject({
  kind: z.literal(TraceEventKind.StoreOutage),
  atMs: instantMsSchema,
  durationMs: durationMsSchema,
});

const listEditSchema = z.strictObject({
  kind: z.literal(TraceEventKind.ListEdit),
  atMs: instantMsSchema,
  customer: nameSchema,
  plan: nameSchema,
});

/** Any event of a trace. */
export const traceEventSchema = z.discriminatedUnion("kind", [
  requestSchema,
  hotKeyShiftSchema,
  serverEventSchema,
  serverStallSchema,
  daemonEventSchema,
  storeOutageSchema,
  listEditSchema,
]);

/** The first line of a trace. */
export const traceHeaderSchema = headerSchema;

export type TraceHeader = z.infer<typeof headerSchema>;
export type TraceService = z.infer<typeof traceServiceSchema>;
export type TraceRequest = z.infer<typeof requestSchema>;
export type TraceHotKeyShift = z.infer<typeof hotKeyShiftSchema>;
export type TraceEvent = z.infer<typeof traceEventSchema>;

/** A whole trace in memory. */
export interface Trace {
  readonly header: TraceHeader;
  readonly events: readonly TraceEvent[];
}
