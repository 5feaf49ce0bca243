#!/usr/bin/env node
/** `skylarkridge`: the operators' tool. */
import { readFile, writeFile } from "node:fs/promises";
import { SystemClock } from "../host/system_clock.ts";
import { FileAccess } from "./command.ts";
import { ConsoleOutput } from "./output.ts";
import { runTool } from "./run_tool.ts";

/** Files of the operator's machine. */
class SystemFiles extends FileAccess {
  override read(path: string): Promise<string> {
    return readFile(path, "utf8");
  }

  override write(path: string, content: string): Promise<void> {
    return writeFile(path, content);
  }
}

process.exitCode = await runTool({
  importMeta: import.meta,
  arguments: process.argv.slice(2),
  environment: process.env,
  output: new ConsoleOutput(),
  clock: new SystemClock(),
  files: new SystemFiles(),
});
