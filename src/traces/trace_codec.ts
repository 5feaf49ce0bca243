/** Encodes and decodes traces as JSON Lines. */
import type { z } from "zod";
import {
  type Trace,
  type TraceEvent,
  traceEventSchema,
  type TraceHeader,
  traceHeaderSchema,
} from "./trace_schema.ts";

/** Encodes a trace; the last line ends with a line feed. */
export function formatTrace({ header, events }: Trace): string {
  const lines = [header, ...events].map((line) => JSON.stringify(line));
  return `${lines.join("\n")}\n`;
}

/** Decodes a trace. Throws an error that names the line and the field if the text is invalid. */
export function parseTrace(text: string): Trace {
  const [first = "", ...rest] = text.trimEnd().split("\n");
  const header: TraceHeader = parseLine(first, 1, traceHeaderSchema);
  const events: TraceEvent[] = rest.map((line, index) =>
    parseLine(line, index + 2, traceEventSchema)
  );
  checkOrder(events);
  return { header, events };
}

function parseLine<T>(
  text: string,
  lineNumber: number,
  schema: z.ZodType<T>,
): T {
  const parsed = schema.safeParse(parseJson(text, lineNumber));
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const field = issue?.path.join(".") ?? "";
  throw new Error(`trace line ${lineNumber}, ${field}: ${issue?.message}`);
}

function parseJson(text: string, lineNumber: number): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new Error(`trace line ${lineNumber}: not JSON`, { cause: error });
  }
}

function checkOrder(events: readonly TraceEvent[]): void {
  for (const [index, event] of events.entries()) {
    const previous = events[index - 1];
    if (previous === undefined || previous.atMs <= event.atMs) continue;
    throw new Error(
      `trace line ${index + 2}, atMs: earlier than the line before`,
    );
  }
}
