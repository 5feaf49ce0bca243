import { err } from "neverthrow";
import * as assert from "uvu/assert";
import { MessageCode } from "../diagnostics/messages.ts";
import { CounterName } from "../services/metrics/metrics.ts";
import { assertBaseline } from "../testing/baseline.ts";
import { describe, it } from "../testing/describe.ts";
import { LoopbackFleet, loopbackSecret } from "../testing/loopback_fleet.ts";
import { createListTexts } from "../testing/test_lists.ts";
import { RequestClass } from "../types/enums.ts";
import { RouterError } from "../types/errors.ts";
import { FileAccess } from "./command.ts";
import { ToolExitCode } from "./exit_code.ts";
import { Output } from "./output.ts";
import { runTool } from "./run_tool.ts";

const baseline = new URL("run_tool_baseline.txt", import.meta.url);

const noFault = { isDown: false, delayMs: 0, losesWriteAnswers: false };
const progressPrefix = "(progress) ";

class MemoryOutput extends Output {
  readonly lines: string[] = [];

  override writeLine(line: string): void {
    this.lines.push(...line.split("\n"));
  }

  override writeNote(line: string): void {
    this.lines.push(`(note) ${line}`);
  }

  override showProgress(line: string): void {
    const isRepeated = this.lines.at(-1)?.startsWith(progressPrefix) ?? false;
    if (isRepeated) this.lines.pop();
    this.lines.push(`${progressPrefix}${line}`);
  }
}

class MemoryFiles extends FileAccess {
  readonly contents = new Map<string, string>();

  override read(path: string): Promise<string> {
    const content = this.contents.get(path);
    return content === undefined
      ? Promise.reject(new Error("no such file"))
      : Promise.resolve(content);
  }

  override async *readLines(path: string): AsyncIterable<string> {
    yield* (await this.read(path)).split("\n");
  }

  override write(path: string, content: string): Promise<void> {
    this.contents.set(path, content);
    return Promise.resolve();
  }
}

/** Runs commands against a fleet and records their output in a transcript. */
class ToolSession {
  readonly fleet = new LoopbackFleet();
  readonly files = new MemoryFiles();
  readonly transcript: string[] = [];

  async run(
    line: string,
    environment: Readonly<Record<string, string>> = {
      SKYLARKRIDGE_PEER: `127.0.0.1:${this.fleet.daemons[0]!.port()}`,
      SKYLARKRIDGE_PEER_SECRET: loopbackSecret,
    },
  ): Promise<ToolExitCode> {
    const output = new MemoryOutput();
    const exitCode = await this.fleet.settle(runTool({
      importMeta: import.meta,
      arguments: line.split(" "),
      environment,
      output,
      clock: this.fleet.clock,
      files: this.files,
    }));
    const lines = output.lines
      .map((text) => text.replace(/127\.0\.0\.1:\d+/g, "127.0.0.1:PORT"));
    this.transcript.push(
      `$ skylarkridge ${line}`,
      ...lines,
      `exit ${exitCode} ${ToolExitCode[exitCode]}`,
      "",
    );
    return exitCode;
  }

  putLists(name: string, texts: ReturnType<typeof createListTexts>): void {
    this.files.contents.set(`${name}/plans.yaml`, texts.plansText);
    this.files.contents.set(`${name}/allowances.yaml`, texts.allowancesText);
  }
}

async function withSession(
  daemonCount: number,
  body: (session: ToolSession) => Promise<void>,
): Promise<void> {
  const session = new ToolSession();
  await session.fleet.start(daemonCount);
  try {
    await body(session);
  } finally {
    await session.fleet.stop();
  }
}

async function causeRefusal({ fleet }: ToolSession): Promise<void> {
  const { admission, pipeline } = fleet.daemons[1]!;
  admission.script = () =>
    err(
      new RouterError(MessageCode.LimitExceeded, "admit", {
        limitName: "customer/live-read/burst (plan basic, allowances.yaml:7)",
        detail: "burst",
        retryAfterMs: 250,
      }),
    );
  await pipeline.run({
    requestId: "r-17",
    customer: "customer",
    service: "roster",
    key: "farm-7",
    requestClass: RequestClass.LiveRead,
    isIdempotent: true,
    idempotencyKey: undefined,
    method: "GET",
    path: "/",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs: fleet.clock.nowMs() + 1_000,
  }, new AbortController().signal);
}

describe("runTool", () => {
  describe("against two daemons", () => {
    it("prints the transcript in the baseline", () =>
      withSession(2, async (session) => {
        session.putLists("new", createListTexts());
        session.putLists("raised", createListTexts({ burstCount: 200 }));
        session.putLists("bad", { plansText: "", allowancesText: "a: [" });
        await session.run("lists show");
        await session.run("lists check bad/plans.yaml bad/allowances.yaml");
        await session.run("lists check new/plans.yaml new/allowances.yaml");
        await session.run("lists apply new/plans.yaml new/allowances.yaml");
        await session.run(
          "lists apply new/plans.yaml new/allowances.yaml " +
            "--base-version 0 --author ana --wait",
        );
        await session.run("lists show");
        await session.run("lists show --out copy");
        await session.run(
          "lists diff raised/plans.yaml raised/allowances.yaml",
        );
        await session.run(
          "lists apply raised/plans.yaml raised/allowances.yaml " +
            "--base-version 0 --author luo",
        );
        await session.run("lists history");
        session.fleet.platform.fault = { ...noFault, isDown: true };
        await session.run("lists history");
        session.fleet.platform.fault = noFault;
        await causeRefusal(session);
        await session.run("explain r-17");
        await session.run("explain r-18");
        await session.run("owner roster farm-7");
        await session.run("owner roster farm-hot --json");
        await session.run("owner nothing farm-7");
        await session.run("history");
        await session.run("history nothing");
        await session.run("status");
        await session.run("limits cuadrillas");
        await session.run("limits nobody");
        await session.run("histograms");
        await session.run("drain daemon-9");
        await session.run("drain daemon-1");
        assertBaseline(baseline, session.transcript.join("\n"));
        const states = session.fleet.daemons.map((d) => d.lifecycle.state());
        assert.equal(states, ["ready", "draining"]);
        assert.is(
          session.files.contents.get("copy/plans.yaml"),
          createListTexts().plansText,
        );
      }));

    it("sums counters over the daemons", () =>
      withSession(2, async (session) => {
        for (const { metrics } of session.fleet.daemons) {
          metrics.count(CounterName.AttemptsSent, undefined, 3);
        }
        await session.run("counters");
        const line = session.transcript
          .find((text) => text.startsWith("attempts.sent"));
        assert.match(line ?? "", /attempts\.sent +6$/);
      }));

    it("names daemons that do not answer", () =>
      withSession(2, async (session) => {
        const [, silent] = session.fleet.daemons;
        await session.fleet.settle(silent!.kernel.stop());
        assert.is(await session.run("status"), ToolExitCode.Partial);
        const text = session.transcript.join("\n");
        assert.match(text, /daemon-1 +dc-1 +unreachable/);
        assert.match(text, /daemon-1 did not answer/);
      }));

    it("names the daemons that lag behind accepted lists", () =>
      withSession(2, async (session) => {
        session.putLists("new", createListTexts());
        const [, lagging] = session.fleet.daemons;
        await session.fleet.settle(lagging!.kernel.stop());
        const exitCode = await session.run(
          "lists apply new/plans.yaml new/allowances.yaml " +
            "--base-version 0 --wait --wait-timeout-ms 1000",
        );
        assert.is(exitCode, ToolExitCode.Lagging);
        assert.match(session.transcript.join("\n"), /lagging: daemon-1/);
      }));
  });

  describe("on failed access", () => {
    it("reports a wrong secret and prints neither secret", () =>
      withSession(1, async (session) => {
        const exitCode = await session.run("status", {
          SKYLARKRIDGE_PEER: `127.0.0.1:${session.fleet.daemons[0]!.port()}`,
          SKYLARKRIDGE_PEER_SECRET: "a-stranger's-guess",
        });
        assert.is(exitCode, ToolExitCode.Unauthorized);
        const text = session.transcript.join("\n");
        assert.not.match(text, /guess/);
        assert.not.match(text, loopbackSecret);
        const counters = session.fleet.daemons[0]!.metrics.counters();
        assert.is(counters.get(CounterName.PeerUnauthorized), 1);
      }));

    it("reports that no daemon answers at an address", () =>
      withSession(1, async (session) => {
        const exitCode = await session.run("status", {
          SKYLARKRIDGE_PEER: "127.0.0.1:1",
          SKYLARKRIDGE_PEER_SECRET: loopbackSecret,
        });
        assert.is(exitCode, ToolExitCode.Unreachable);
      }));
  });

  describe("on a usage error", () => {
    const cases: readonly (readonly [line: string, message: RegExp])[] = [
      ["stauts", /did you mean status\?/],
      ["lists aply a b", /did you mean lists apply\?/],
      ["owner roster", /usage: skylarkridge owner SERVICE KEY/],
      ["status extra", /usage: skylarkridge status/],
      ["status --jsn", /did you mean --json\?/],
      ["status --wait-timeout-ms 0", /an integer from 1 to 3600000 ms/],
      ["lists check a b", /a cannot be read/],
    ];
    for (const [line, message] of cases) {
      it(`reports the error in "${line}"`, () =>
        withSession(1, async (session) => {
          assert.is(await session.run(line), ToolExitCode.Usage);
          assert.match(session.transcript.join("\n"), message);
        }));
    }

    it("names the variables that are not set", () =>
      withSession(1, async (session) => {
        assert.is(await session.run("status", {}), ToolExitCode.Usage);
        await session.run("status", { SKYLARKRIDGE_PEER: "127.0.0.1:1" });
        const text = session.transcript.join("\n");
        assert.match(text, /--peer \(SKYLARKRIDGE_PEER\) is not set/);
        assert.match(text, /SKYLARKRIDGE_PEER_SECRET is not set/);
      }));
  });
});
