#!/usr/bin/env node
/** The entry point of `skylarkridge`, the operators' tool. */
import { createReadStream } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import { createInterface } from "node:readline";
import { SystemClock } from "../host/system_clock.ts";
import { FileAccess } from "./command.ts";
import { ConsoleOutput } from "./output.ts";
import { runTool } from "./run_tool.ts";

/** The path that stands for standard input. */
const standardInput = "-";

/** Accesses the file system of the operator's machine. */
class SystemFiles extends FileAccess {
  override read(path: string): Promise<string> {
    return readFile(path, "utf8");
  }

  override readLines(path: string): AsyncIterable<string> {
    const input = path === standardInput
      ? process.stdin
      : createReadStream(path, "utf8");
    return createInterface({ input, crlfDelay: Infinity });
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
