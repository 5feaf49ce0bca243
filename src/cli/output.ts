/** Where the tool writes: results on one stream, progress on another. */

/** Receives what a command has to say. */
export abstract class Output {
  /** Writes one line of the result. */
  abstract writeLine(line: string): void;

  /** Writes one line for people that is not part of the result. */
  abstract writeNote(line: string): void;

  /** Shows how far a command is; replaces the line shown before. */
  abstract showProgress(line: string): void;
}

/** Writes results to standard output and the rest to standard error. */
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

/** Prints a value as JSON; integers of 64 bits become numbers. */
export function writeJson(output: Output, value: unknown): void {
  output.writeLine(JSON.stringify(value, replaceValue, 2));
}

/** Drops the type names that generated messages carry. */
function replaceValue(key: string, value: unknown): unknown {
  if (key.startsWith("$")) return undefined;
  return typeof value === "bigint" ? Number(value) : value;
}
