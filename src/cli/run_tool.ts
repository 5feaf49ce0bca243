/** Runs the operators' tool: parses its arguments, runs the command, and returns the exit code. */
import {
  CommandLineRequest,
  readCommandLine,
} from "../command_line/command_line.ts";
import type { Clock } from "../host/clock.ts";
import { HttpPeerTransport } from "../services/peers/http_peer_transport.ts";
import type { FileAccess } from "./command.ts";
import { createCommands, selectCommand } from "./command_table.ts";
import { ToolExitCode } from "./exit_code.ts";
import { FleetClient } from "./fleet_client.ts";
import type { Output } from "./output.ts";
import { toToolError } from "./tool_error.ts";
import {
  parseToolFlags,
  type RawToolFlags,
  readFleetAccess,
  toolFlagDeclarations,
} from "./tool_flags.ts";
import { createToolHelp } from "./tool_help.ts";

const connectTimeoutMs = 2_000;
/** Longer than the time in which a daemon finds out whether a write took effect. */
const callTimeoutMs = 15_000;

/** The arguments of the tool and the interfaces through which it acts. */
export interface ToolOptions {
  readonly importMeta: ImportMeta;
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
  readonly clock: Clock;
  readonly files: FileAccess;
}

/** Runs one command; never rejects. */
export async function runTool(options: ToolOptions): Promise<ToolExitCode> {
  const { output } = options;
  const line = readCommandLine({
    importMeta: options.importMeta,
    arguments: options.arguments,
    flags: toolFlagDeclarations,
    help: "",
  });
  if (line.isErr()) {
    output.writeNote(line.error.message);
    return ToolExitCode.Usage;
  }
  switch (line.value.request) {
    case CommandLineRequest.Help:
      output.writeLine(createToolHelp(createCommands()));
      return ToolExitCode.Success;
    case CommandLineRequest.Version:
      output.writeLine(line.value.version);
      return ToolExitCode.Success;
    case CommandLineRequest.Run:
      return await runCommand(options, line.value);
  }
}

async function runCommand(
  options: ToolOptions,
  line: { readonly input: readonly string[]; readonly flags: RawToolFlags },
): Promise<ToolExitCode> {
  const { output, clock, files } = options;
  try {
    const selected = selectCommand(createCommands(), line.input);
    selected.command.checkArguments(selected.arguments);
    const flags = parseToolFlags(line.flags);
    let fleet: FleetClient | undefined;
    return await selected.command.run({
      flags,
      output,
      clock,
      files,
      arguments: selected.arguments,
      // Created on first use, since commands that only read files need no fleet.
      get fleet() {
        return fleet ??= createFleetClient(options, line.flags);
      },
    });
  } catch (error) {
    const failure = toToolError(error, "daemon");
    output.writeNote(failure.message);
    return failure.exitCode;
  }
}

/** Throws `ToolError` if the fleet's address or secret is missing. */
function createFleetClient(
  { environment }: ToolOptions,
  flags: RawToolFlags,
): FleetClient {
  const access = readFleetAccess(flags, environment);
  const transport = new HttpPeerTransport({
    secret: access.secret,
    connectionsPerPeer: 1,
    connectTimeoutMs,
    callTimeoutMs,
  });
  return new FleetClient(transport, access.peer);
}
