/** The output of the tool: results on one stream, notes and progress on another. */

/** Receives the output of a command. */
export abstract class Output {
  /** Writes one line of the result. */
  abstract writeLine(line: string): void;

  /** Writes one line for the operator that is not part of the result. */
  abstract writeNote(line: string): void;

  /** Shows the progress of a command; replaces the progress shown before. */
  abstract showProgress(line: string): void;
}

/** Writes results to standard output, and notes and progress to standard error. */
export class ConsoleOutput extends Output {
  #progressLength = 0;

  override writeLine(line: string): void {
    process.stdout.write(`${line}\n`);
  }

  override writeNote(line: string): void {
    this.#clearProgress();
    process.stderr.write(`${line}\n`);
  }

  override showProgress(line: string): void {
    if (!process.stderr.isTTY) return void process.stderr.write(`${line}\n`);
    this.#clearProgress();
    process.stderr.write(line);
    this.#progressLength = line.length;
  }

  #clearProgress(): void {
    if (this.#progressLength === 0) return;
    process.stderr.write(`\r${" ".repeat(this.#progressLength)}\r`);
    this.#progressLength = 0;
  }
}

/** Writes a value as JSON; 64-bit integers become numbers. */
export function writeJson(output: Output, value: unknown): void {
  output.writeLine(JSON.stringify(value, replaceValue, 2));
}

/** Leaves out the `$typeName` of generated messages and converts 64-bit integers. */
function replaceValue(key: string, value: unknown): unknown {
  if (key.startsWith("$")) return undefined;
  return typeof value === "bigint" ? Number(value) : value;
}
