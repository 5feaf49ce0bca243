/** Regenerates the committed traces from their seeds. */
import { writeFileSync } from "node:fs";
import { generateTrace } from "../src/traces/generate_trace.ts";
import { listRecordings } from "../src/traces/recordings.ts";
import { formatTrace } from "../src/traces/trace_codec.ts";

for (const { file, scenario, size } of listRecordings()) {
  const text = formatTrace(generateTrace(scenario, size));
  writeFileSync(file, text);
  console.log(`${file}: ${text.length} bytes`);
}
