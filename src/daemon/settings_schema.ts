/**
 * The schema of the daemon's settings: defines each setting, its allowed values
 * and its default. Flags, environment variables, `--help` and the table in
 * docs/OPERATING.md are derived from it.
 */
import { parse as parseYaml } from "yaml";
import { z } from "zod";
import { LogFormat } from "../services/log/consola_log.ts";
import { FencingMode, RequestClass } from "../types/enums.ts";

const maxPort = 65_535;
const minSecretLength = 16;
const maxDurationMs = 3_600_000;

/** The texts about one setting in `--help` and in the table of settings. */
interface SettingText {
  readonly description: string;
  readonly allowed: string;
}

function describeSetting<S extends z.ZodType>(
  schema: S,
  text: SettingText,
): S {
  return schema.meta({ ...text });
}

function isAddress(text: string): boolean {
  const match = /^([A-Za-z0-9.-]+|\[[0-9A-Fa-f:]+\]):(\d{1,5})$/.exec(text);
  return match !== null && Number(match[2]) <= maxPort;
}

function createAddressSchema(description: string) {
  return describeSetting(z.string().refine(isAddress), {
    description,
    allowed: `host:port with a port up to ${maxPort}`,
  });
}

function createNameSchema(description: string) {
  return describeSetting(z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/), {
    description,
    allowed: "letters, digits, dots, dashes and underscores",
  });
}

function isInteger(text: string): boolean {
  return /^\d+$/.test(text);
}

/** Creates the schema of an integer between two inclusive bounds. */
function createIntegerSchema(
  description: string,
  bounds: {
    readonly min: number;
    readonly max: number;
    readonly default: number;
    readonly unit: string;
  },
) {
  const schema = z.string()
    .refine(isInteger)
    .transform(Number)
    .refine((value) => value >= bounds.min && value <= bounds.max)
    .default(bounds.default);
  return describeSetting(schema, {
    description,
    allowed: `an integer from ${bounds.min} to ${bounds.max} ${bounds.unit}`,
  });
}

function createDurationSchema(
  description: string,
  bounds: { readonly min: number; readonly default: number },
) {
  return createIntegerSchema(description, {
    ...bounds,
    max: maxDurationMs,
    unit: "ms",
  });
}

/** The schema of one service, which operators write in YAML or JSON. */
const serviceDefinitionSchema = z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/, "lower case, digits, dashes"),
  requestClass: z.enum(RequestClass),
  shardCount: z.number().int().min(1).max(65_536).default(256),
  fencingMode: z.enum(FencingMode),
  slotsPerServer: z.number().int().min(1).max(1_024).default(3),
  connectionsPerServer: z.number().int().min(2).max(65_536).default(50),
  churnWeight: z.number().min(0).max(1_000).default(1),
});

const serviceDefinitionsSchema = z.array(serviceDefinitionSchema)
  .min(1)
  .refine(hasDistinctNames, "two services have the same name");

function hasDistinctNames(
  definitions: readonly { readonly name: string }[],
): boolean {
  return new Set(definitions.map(({ name }) => name)).size ===
    definitions.length;
}

function parseServices(text: string, context: z.RefinementCtx) {
  const parsed = serviceDefinitionsSchema.safeParse(parseYamlOrText(text));
  if (parsed.success) return parsed.data;
  const details = parsed.error.issues.map((issue) =>
    `${issue.path.join(".") || "services"}: ${issue.message}`
  );
  context.addIssue({ code: "custom", message: details.join("; ") });
  return z.NEVER;
}

function parseYamlOrText(text: string): unknown {
  try {
    return parseYaml(text);
  } catch {
    return text;
  }
}

/** The schema of all settings of the daemon. */
export const settingsSchema = z.strictObject({
  daemonId: createNameSchema("identifier of this run of the daemon"),
  region: describeSetting(
    z.string().regex(/^[a-z0-9-]+$/).default("region"),
    {
      description: "region whose coordinator this daemon follows",
      allowed: "lower-case letters, digits and dashes",
    },
  ),
  dataCentre: createNameSchema("data centre of this VM"),
  entryAddress: createAddressSchema("address of the callers' listener"),
  peerAddress: createAddressSchema(
    "address of the listener for peers and the operators' tool",
  ),
  platformAddress: createAddressSchema("address of the platform"),
  peerSecret: describeSetting(z.string().min(minSecretLength), {
    description: "shared secret of the fleet; prefer the variable to the flag",
    allowed: `at least ${minSecretLength} characters`,
  }),
  services: describeSetting(z.string().transform(parseServices), {
    description: "the services, as a YAML or JSON list",
    allowed: "a list of services; see below",
  }),
  statsdAddress: createAddressSchema("address of a StatsD collector")
    .optional(),
  logFormat: describeSetting(z.enum(LogFormat).default(LogFormat.Text), {
    description: "format of the log lines",
    allowed: Object.values(LogFormat).join(" or "),
  }),
  platformTimeoutMs: createDurationSchema(
    "time limit of one call to the platform",
    { min: 10, default: 1_000 },
  ),
  vmPollIntervalMs: createDurationSchema(
    "time between reads of the list of VMs",
    { min: 50, default: 1_000 },
  ),
  permitDurationMs: createDurationSchema("validity of a home permit", {
    min: 200,
    default: 1_800,
  }),
  leaseDurationMs: createDurationSchema(
    "time after which an unchanged coordinator lease has lapsed",
    { min: 100, default: 1_000 },
  ),
  ownershipIntervalMs: createDurationSchema("time between syncs of ownership", {
    min: 20,
    default: 300,
  }),
  defaultDeadlineMs: createDurationSchema(
    "deadline of requests that set none",
    { min: 1, default: 10_000 },
  ),
  maxDeadlineMs: createDurationSchema(
    "longest deadline that a caller may set",
    { min: 1, default: 60_000 },
  ),
  requestTimeoutMs: createDurationSchema(
    "time in which a request must arrive",
    { min: 100, default: 10_000 },
  ),
  maxBodyBytes: createIntegerSchema("largest request body", {
    min: 0,
    max: 1_073_741_824,
    default: 1_048_576,
    unit: "bytes",
  }),
  maxHeaderBytes: createIntegerSchema("largest request head", {
    min: 1_024,
    max: 1_048_576,
    default: 16_384,
    unit: "bytes",
  }),
  maxCallerConnections: createIntegerSchema(
    "connections from callers at one time",
    {
      min: 1,
      max: 1_000_000,
      default: 10_000,
      unit: "connections",
    },
  ),
  drainNoticeMs: createDurationSchema(
    "time between reporting not ready and closing the listener",
    { min: 0, default: 500 },
  ),
  drainTimeoutMs: createDurationSchema(
    "longest wait for in-flight requests",
    { min: 0, default: 30_000 },
  ),
});

/** The daemon's settings after parsing. */
export type Settings = z.infer<typeof settingsSchema>;
/** The name of a setting in camel case. */
export type SettingName = keyof Settings;

/** Names of the settings whose values must not appear in messages. */
export const secretSettingNames: ReadonlySet<string> = new Set<SettingName>([
  "peerSecret",
]);

/** Names of all settings, in the order of the schema. */
export const settingNames = Object.keys(
  settingsSchema.shape,
) as readonly SettingName[];

/** Describes one setting for the help and the documentation. */
export interface SettingDescription extends SettingText {
  readonly name: SettingName;
  /** The default as text; undefined if the setting has none. */
  readonly defaultText: string | undefined;
  readonly isRequired: boolean;
}

/** Returns the description of one setting, which it reads from the schema. */
export function getSettingDescription(name: SettingName): SettingDescription {
  const schema: z.ZodType = settingsSchema.shape[name];
  const described = schema instanceof z.ZodOptional ? schema.unwrap() : schema;
  const text = (described as z.ZodType).meta() as unknown as SettingText;
  const parsedDefault = schema.safeParse(undefined);
  return {
    name,
    description: text.description,
    allowed: text.allowed,
    defaultText: parsedDefault.success && parsedDefault.data !== undefined
      ? String(parsedDefault.data)
      : undefined,
    isRequired: !parsedDefault.success,
  };
}
