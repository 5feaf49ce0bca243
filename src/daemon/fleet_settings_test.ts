import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { readFleetSettings } from "./fleet_settings.ts";

const validFile = {
  daemonId: "front-1",
  zone: "a",
  callersAddress: "10.0.0.1:8548",
  readinessAddress: "10.0.0.1:8542",
  storeAddress: "10.0.0.9:8541",
  host: "10.0.0.1",
  peerPorts: [7540, 7555],
  metricsAddress: "10.0.0.1:9464",
  processorShare: 0.25,
  processorCount: 2,
  graceSeconds: 6,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retryExtraCount: 56,
};

function read(content: string) {
  const folder = mkdtempSync(join(tmpdir(), "skylarkridge-"));
  try {
    const path = join(folder, "settings.json");
    writeFileSync(path, content);
    return readFleetSettings(path);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

describe("readFleetSettings", () => {
  it("reads addresses, core counts, and durations in milliseconds", () => {
    const settings = read(JSON.stringify(validFile))._unsafeUnwrap();
    assert.equal(settings.callersAddress, { host: "10.0.0.1", port: 8548 });
    assert.equal(settings.peerAddress, { host: "10.0.0.1", port: 7540 });
    assert.is(settings.advertisedPeerAddress, "10.0.0.1:7540");
    assert.is(settings.coreCount, 0.5);
    assert.is(settings.graceMs, 6_000);
    assert.is(settings.retryWindowMs, 10_000);
  });

  it("reads the advertised address for peers if there is one", () => {
    const file = { ...validFile, advertisedPeerAddress: "10.0.0.7:9000" };
    const settings = read(JSON.stringify(file))._unsafeUnwrap();
    assert.is(settings.advertisedPeerAddress, "10.0.0.7:9000");
  });

  it("ignores unknown fields", () => {
    const settings = read(JSON.stringify({ ...validFile, later: true }));
    assert.is(settings.isOk(), true);
  });

  const mistakes: readonly (readonly [string, object, RegExp])[] = [
    ["an empty id", { daemonId: "" }, /daemonId must be a non-empty string/],
    ["an address without a port", { callersAddress: "10.0.0.1" }, /port/],
    ["ports that are not numbers", { peerPorts: ["a"] }, /peerPorts/],
    [
      "a negative duration",
      { graceSeconds: -1 },
      /graceSeconds must be a number/,
    ],
  ];
  for (const [title, change, expected] of mistakes) {
    it(`names the field that has ${title}`, () => {
      const result = read(JSON.stringify({ ...validFile, ...change }));
      assert.match(result._unsafeUnwrapErr().message, expected);
    });
  }

  it("reports a file that is not JSON", () => {
    assert.match(read("{")._unsafeUnwrapErr().message, /JSON/);
  });

  it("reports a missing file", () => {
    const result = readFleetSettings("/nowhere/settings.json");
    assert.match(result._unsafeUnwrapErr().message, /nowhere/);
  });
});
