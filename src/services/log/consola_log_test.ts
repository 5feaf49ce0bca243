import { PassThrough } from "node:stream";
import * as assert from "uvu/assert";
import { LogEvent } from "../../diagnostics/log_events.ts";
import { Kernel } from "../../kernel/kernel.ts";
import { describe, it } from "../../testing/describe.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import { ConsolaLog, LogFormat } from "./consola_log.ts";

async function writeOneLine(format: LogFormat): Promise<string> {
  const stream = new PassThrough();
  const log = new ConsolaLog({
    format,
    daemonId: "daemon-1",
    stream: stream as unknown as NodeJS.WriteStream,
  });
  const kernel = new Kernel().register(new VirtualClock()).register(log);
  await kernel.start();
  log.write(LogEvent.StoppedCoordinating, { epoch: 4, cause: undefined });
  await kernel.stop();
  return String(stream.read());
}

describe("ConsolaLog", () => {
  it("writes one JSON object per line", async () => {
    const text = await writeOneLine(LogFormat.Json);
    assert.is(text.split("\n").length, 2);
    assert.equal(JSON.parse(text), {
      wallTimeMs: 1_800_000_000_000,
      level: "warn",
      daemonId: "daemon-1",
      message: "stopped coordinating",
      epoch: 4,
    });
  });

  it("writes the event and its fields as text", async () => {
    const text = await writeOneLine(LogFormat.Text);
    assert.match(text, /stopped coordinating/);
    assert.match(text, /epoch/);
  });
});
