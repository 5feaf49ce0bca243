/**
 * Nested `describe` blocks over uvu's suites. A test listed in KNOWN-RED.txt
 * may fail without failing the run; its failure is printed.
 */
import { readFileSync } from "node:fs";
import { type Context, suite, type uvu } from "uvu";

type TestBody = () => void | Promise<void>;

interface Block {
  readonly title: string;
  readonly run: uvu.Test<Context>;
}

const blocks: Block[] = [];
const knownRedTests = readKnownRedTests();

/** Groups tests. Blocks nest, and the titles of nested blocks are joined. */
export function describe(title: string, body: () => void): void {
  const parent = blocks.at(-1);
  const fullTitle = parent === undefined ? title : `${parent.title} > ${title}`;
  const block = { title: fullTitle, run: suite(fullTitle) };
  blocks.push(block);
  body();
  blocks.pop();
  block.run.run();
}

/** Declares one test of the enclosing block. */
export function it(title: string, body: TestBody): void {
  const block = blocks.at(-1);
  if (block === undefined) throw new Error(`test outside describe: ${title}`);
  const fullTitle = `${block.title} > ${title}`;
  if (!knownRedTests.has(fullTitle)) {
    block.run(title, body);
    return;
  }
  block.run(title, async () => {
    try {
      await body();
    } catch (error) {
      console.log(`KNOWN RED ${fullTitle}: ${String(error)}`);
      return;
    }
    throw new Error("listed in KNOWN-RED.txt but passes; remove the entry");
  });
}

/** Reads the titles of known failures: lines that start with `test: `. */
function readKnownRedTests(): ReadonlySet<string> {
  const prefix = "test: ";
  const file = new URL("../../KNOWN-RED.txt", import.meta.url);
  const lines = readFileSync(file, "utf8").split("\n");
  return new Set(
    lines.filter((line) => line.startsWith(prefix))
      .map((line) => line.slice(prefix.length).trim()),
  );
}
