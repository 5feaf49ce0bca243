import * as assert from "uvu/assert";
import { SystemClock } from "../../host/system_clock.ts";
import { describe, it } from "../../testing/describe.ts";
import { FileAccess } from "../command.ts";
import { ToolExitCode } from "../exit_code.ts";
import { Output } from "../output.ts";
import { runTool } from "../run_tool.ts";

const lines = [
  '{"atMs":1000,"level":"info","daemon":"d-1","event":"range granted","service":"roster","server":"i-2","first":5000,"last":6000,"fence":7}',
  '{"atMs":1100,"level":"warn","daemon":"d-2","event":"server avoided","server":"i-1","reason":"ECONNRESET"}',
  '{"atMs":1150,"level":"warn","daemon":"d-2","event":"server avoided","server":"i-9","reason":"ECONNRESET"}',
  '{"atMs":1200,"level":"info","daemon":"d-2","event":"request","id":"abc","service":"roster","key":5495,"ending":"answered","status":200,"server":"i-2","trail":"i-1 wrong-server: status 421; i-2 status 200"}',
  '{"atMs":1300,"level":"info","daemon":"d-2","event":"request","id":"def","service":"pay","ending":"unknown","reason":"answer-lost","server":"i-1"}',
  '{"atMs":1400,"level":"info","daemon":"d-1","event":"request","id":"ghi","service":"pay","ending":"unknown","reason":"answer-lost","server":"i-1"}',
  '{"atMs":1500,"level":"info","daemon":"d-1","event":"request","id":"jkl","service":"pay","ending":"answered","status":500,"server":"i-1"}',
];

class MemoryFiles extends FileAccess {
  readonly #texts: Readonly<Record<string, string>>;

  constructor(texts: Readonly<Record<string, string>>) {
    super();
    this.#texts = texts;
  }

  override read(path: string): Promise<string> {
    const text = this.#texts[path];
    return text === undefined
      ? Promise.reject(new Error("no such file"))
      : Promise.resolve(text);
  }

  override async *readLines(path: string): AsyncIterable<string> {
    yield* (await this.read(path)).split("\n");
  }

  override write(): Promise<void> {
    return Promise.reject(new Error("nothing is written"));
  }
}

class MemoryOutput extends Output {
  readonly lines: string[] = [];

  override writeLine(line: string): void {
    this.lines.push(line);
  }

  override writeNote(line: string): void {
    this.lines.push(line);
  }

  override showProgress(): void {}
}

async function run(
  words: readonly string[],
  texts: Readonly<Record<string, string>>,
): Promise<{ exitCode: ToolExitCode; lines: string[] }> {
  const output = new MemoryOutput();
  const exitCode = await runTool({
    importMeta: import.meta,
    arguments: words,
    environment: {},
    output,
    clock: new SystemClock(),
    files: new MemoryFiles(texts),
  });
  return { exitCode, lines: output.lines };
}

const logs = { "all.log": lines.join("\n") };

describe("logs commands", () => {
  describe("logs story", () => {
    it("prints a request's lines with those of its server and its key", async () => {
      const { exitCode, lines: printed } = await run(
        ["logs", "story", "abc", "all.log"],
        logs,
      );
      assert.is(exitCode, ToolExitCode.Success);
      assert.is(printed.length, 3, printed.join("\n"));
      assert.match(printed[0]!, /range granted .*fence=7/);
      assert.match(printed[1]!, /\+100 ms {2}d-2 {2}server avoided/);
      assert.match(printed[2]!, /\+200 ms .*trail=i-1 wrong-server/);
    });

    it("prints an event of a server once if several daemons logged it", async () => {
      const createLine = (daemon: string, atMs: number) =>
        `{"atMs":${atMs},"daemon":"${daemon}","event":"server gone","server":"i-1"}`;
      const { lines: printed } = await run(
        ["logs", "story", "abc", "all.log"],
        {
          "all.log": [
            createLine("d-1", 1160),
            createLine("d-2", 1170),
            createLine("d-3", 1180),
          ]
            .concat(lines).join("\n"),
        },
      );
      assert.is(printed.length, 4, printed.join("\n"));
      assert.match(printed[2]!, /d-2 {2}server gone .*daemonCount=3/);
    });

    it("prints JSON", async () => {
      const { lines: printed } = await run(
        ["logs", "story", "abc", "all.log", "--json"],
        logs,
      );
      assert.is(JSON.parse(printed.join("\n")).length, 3);
    });

    it("reads prefixed lines from several files", async () => {
      const prefixed = lines.map((line, i) => `  ${i}.5 front-1 ${line}`);
      const { lines: printed } = await run(["logs", "story", "abc", "a", "b"], {
        a: prefixed.slice(0, 2).join("\n"),
        b: ["day  score", ...prefixed.slice(2)].join("\n"),
      });
      assert.is(printed.length, 3, printed.join("\n"));
    });

    it("reports that no line has the id", async () => {
      const { exitCode, lines: printed } = await run(
        ["logs", "story", "zzz", "all.log"],
        logs,
      );
      assert.is(exitCode, ToolExitCode.NotFound);
      assert.match(printed[0]!, /no line of request zzz/);
    });

    it("names the file that cannot be read", async () => {
      const { exitCode, lines: printed } = await run(
        ["logs", "story", "abc", "none.log"],
        logs,
      );
      assert.is(exitCode, ToolExitCode.NotFound);
      assert.match(printed[0]!, /none\.log cannot be read: no such file/);
    });

    it("names the line that is malformed", async () => {
      const { exitCode, lines: printed } = await run(
        ["logs", "story", "abc", "bad.log"],
        { "bad.log": `${lines[0]}\n{"atMs":1,"event"}` },
      );
      assert.is(exitCode, ToolExitCode.Failure);
      assert.match(printed[0]!, /bad\.log, line 2: not a log line/);
    });

    it("skips a line that another daemon's line interrupts", async () => {
      const { exitCode, lines: printed } = await run(
        ["logs", "story", "abc", "joined.log"],
        { "joined.log": `11.0 d-1 {"atMs":17  11.1 d-2 ${lines[3]}` },
      );
      assert.is(exitCode, ToolExitCode.Success);
      assert.is(printed.length, 1, printed.join("\n"));
    });

    it("skips a line that was truncated when its process was killed", async () => {
      const { exitCode } = await run(["logs", "story", "abc", "cut.log"], {
        "cut.log": `${lines.join("\n")}\n{"atMs":9,"level":"in`,
      });
      assert.is(exitCode, ToolExitCode.Success);
    });
  });

  describe("logs causes", () => {
    it("counts failures, the most frequent first", async () => {
      const { exitCode, lines: printed } = await run(
        ["logs", "causes", "all.log"],
        logs,
      );
      assert.is(exitCode, ToolExitCode.Success);
      assert.equal(printed.slice(1), [
        "    2  pay      unknown   answer-lost  def",
        "    1  pay      answered  status 500   jkl",
      ]);
    });

    it("reports that no request failed", async () => {
      const { lines: printed } = await run(["logs", "causes", "one.log"], {
        "one.log": lines[3]!,
      });
      assert.equal(printed, ["no request failed"]);
    });
  });
});
