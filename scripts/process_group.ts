/** Starts the processes of the demo and of tests, and ends exactly these processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { assertNever } from "../src/types/errors.ts";

/** The exit code that a shell reports for a process that SIGTERM ended. */
const sigtermExitCode = 143;

/** How a program of this repository is run. */
export enum ProgramForm {
  /** From the TypeScript source, which is compiled while it is loaded. */
  Source = "source",
  /** From the output of `npm run build`. */
  Compiled = "compiled",
  /** From a bundle that `npm run bundle` wrote; the program is the path of the bundle. */
  Bundled = "bundled",
}

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
}

/** A group of processes that end together, at the latest when this process exits. */
export class ProcessGroup {
  readonly #form: ProgramForm;
  readonly #processes: StartedProcess[] = [];
  #isOpen = true;

  constructor(form = ProgramForm.Source) {
    this.#form = form;
    process.once("exit", this.#killAll);
    process.once("SIGTERM", this.#exitOnSigterm);
  }

  /** Ends the started processes when this process exits; a SIGKILL of this process leaves them running. */
  readonly #killAll = (): void => {
    for (const { child } of this.#processes) child.kill("SIGKILL");
  };

  /** Exits explicitly, since Node's default action on SIGTERM skips the exit handlers. */
  readonly #exitOnSigterm = (): void => process.exit(sigtermExitCode);

  /** Starts a program with the given variables added to this process's environment. */
  start(
    name: string,
    options: {
      readonly program: string;
      readonly environment: Readonly<Record<string, string>>;
      readonly onStderr?: (text: string) => void;
      /** The file to which standard output and standard error are appended. */
      readonly logPath?: string;
    },
  ): StartedProcess {
    const child = spawn(
      process.execPath,
      createProgramArguments(this.#form, options.program),
      {
        env: { ...process.env, ...options.environment },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    if (options.logPath === undefined) child.stdout?.resume();
    else {
      const log = createWriteStream(options.logPath, { flags: "a" });
      child.stdout?.pipe(log, { end: false });
      child.stderr?.pipe(log, { end: false });
      child.once("close", () => log.end());
    }
    child.stderr?.on("data", (chunk) => options.onStderr?.(String(chunk)));
    const started = { name, child };
    this.#processes.push(started);
    return started;
  }

  /** Sends a signal to one process and waits until the process has exited. */
  async end(started: StartedProcess, signal: NodeJS.Signals): Promise<void> {
    const { child } = started;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, "exit");
    child.kill(signal);
    await exited;
  }

  /** Whether `endAll` has not been called yet. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Kills every process, whatever its state, and waits until all have exited. */
  async endAll(): Promise<void> {
    this.#isOpen = false;
    await Promise.all(this.#processes.map((p) => this.end(p, "SIGKILL")));
    process.off("exit", this.#killAll);
    process.off("SIGTERM", this.#exitOnSigterm);
  }
}

function createProgramArguments(form: ProgramForm, program: string): string[] {
  switch (form) {
    case ProgramForm.Source:
      return ["--import", "tsx", program];
    case ProgramForm.Compiled:
      return [`dist/${program.replace(/\.ts$/, ".js")}`];
    case ProgramForm.Bundled:
      return [program];
    default:
      return assertNever(form);
  }
}
