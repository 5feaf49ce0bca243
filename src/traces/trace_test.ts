import { readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { SeededRandomSource } from "../host/random_source.ts";
import { describe, it } from "../testing/describe.ts";
import { generateTrace } from "./generate_trace.ts";
import { KeySampler } from "./key_sampler.ts";
import { listRecordings } from "./recordings.ts";
import { formatTrace, parseTrace } from "./trace_codec.ts";
import { TraceEventKind } from "./trace_schema.ts";

const maxFileBytes = 300_000;

describe("traces", () => {
  for (const { file, scenario, size } of listRecordings()) {
    describe(file, () => {
      it("is reproduced byte for byte by the generator", () => {
        const recorded = readFileSync(file, "utf8");
        const generated = formatTrace(generateTrace(scenario, size));
        assert.ok(recorded === generated, "run npm run traces");
        assert.ok(Buffer.byteLength(recorded) < maxFileBytes);
      });

      it("matches its schema and decodes to the generated trace", () => {
        const recorded = readFileSync(file, "utf8");
        assert.equal(parseTrace(recorded), generateTrace(scenario, size));
      });

      it("differs under another seed", () => {
        const other = { ...size, seed: size.seed + 1 };
        assert.not.equal(
          generateTrace(scenario, size).events.slice(0, 50),
          generateTrace(scenario, other).events.slice(0, 50),
        );
      });
    });
  }

  describe("parseTrace", () => {
    const [recording] = listRecordings();
    const size = { ...recording!.size, durationMs: 2_000 };
    const text = formatTrace(generateTrace(recording!.scenario, size));
    const lines = text.trimEnd().split("\n");

    it("names the line that is not JSON", () => {
      const broken = [lines[0], "{", ...lines.slice(1)].join("\n");
      assert.throws(() => parseTrace(broken), /trace line 2: not JSON/);
    });

    it("names the line and field that is not allowed", () => {
      const header = { ...JSON.parse(lines[0]!), daemonCount: 0 };
      const broken = [JSON.stringify(header), ...lines.slice(1)].join("\n");
      assert.throws(() => parseTrace(broken), /trace line 1, daemonCount/);
    });

    it("rejects events out of order", () => {
      const late = JSON.stringify({
        kind: TraceEventKind.StoreOutage,
        atMs: 999_999,
        durationMs: 1,
      });
      const broken = [lines[0], late, ...lines.slice(1)].join("\n");
      assert.throws(() => parseTrace(broken), /trace line 3, atMs: earlier/);
    });
  });

  describe("KeySampler", () => {
    it("draws hot keys by their share and the other keys by rank", () => {
      const sampler = new KeySampler(new SeededRandomSource(7), {
        keyPrefix: "key",
        keyCount: 100,
        zipfExponent: 1,
      });
      sampler.setHotKeys([{ key: "hot", share: 0.5 }]);
      const counts = new Map<string, number>();
      for (let index = 0; index < 10_000; index++) {
        const key = sampler.nextKey();
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
      const hotCount = counts.get("hot") ?? 0;
      assert.ok(hotCount > 4_800 && hotCount < 5_200, String(hotCount));
      assert.ok(counts.get("key-0")! > 5 * (counts.get("key-50") ?? 0));
    });
  });
});
