import * as assert from "uvu/assert";
import type { BackendReport } from "../../host/backend_transport.ts";
import { describe, it } from "../../testing/describe.ts";
import { BackendServerState } from "../../types/enums.ts";
import { ServerHealth } from "./server_health.ts";

const healthy: BackendReport = {
  isHealthy: true,
  isDraining: false,
  isWarm: true,
  busySlots: 0,
};
const busy = { isIdle: false };

describe("ServerHealth", () => {
  describe("with misleading health checks", () => {
    it("keeps a server live that answers while its health checks fail", () => {
      const health = new ServerHealth(BackendServerState.Live);
      for (let atMs = 0; atMs < 5_000; atMs += 100) {
        health.noteSent(atMs);
        health.noteAnswer(atMs + 10, busy);
        health.noteHealthCheckFailure(atMs + 50);
      }
      assert.is(health.state, BackendServerState.Live);
    });

    it("marks a silent server lost although its health checks succeed", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteAnswer(0, busy);
      for (const atMs of [300, 600, 1_000]) {
        health.noteReport(healthy, atMs);
        health.noteFailure(atMs);
      }
      assert.is(health.state, BackendServerState.Lost);
      health.noteReport(healthy, 1_100);
      assert.is(health.state, BackendServerState.Lost);
    });
  });

  describe("loss", () => {
    it("requires one refused connection and one failed health check", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteAnswer(100, busy);
      health.noteFailure(110);
      assert.ok(health.isSuspect(110));
      health.noteHealthCheckFailure(112);
      assert.is(health.state, BackendServerState.Lost);
    });

    it("requires silence and a failed health check when connections stay open", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteAnswer(0, { isIdle: true });
      health.noteSent(100);
      assert.not(health.isSuspect(300));
      assert.ok(health.isSuspect(360));
      health.noteHealthCheckFailure(600);
      assert.is(health.state, BackendServerState.Lost);
    });

    it("requires two failed health checks when the server is idle", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteHealthCheckFailure(2_000);
      assert.is(health.state, BackendServerState.Live);
      health.noteHealthCheckFailure(2_100);
      assert.is(health.state, BackendServerState.Lost);
    });

    it("ends as warming with a healthy report after the hold-off", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteFailure(0);
      health.noteHealthCheckFailure(1);
      health.noteReport(healthy, 100);
      assert.is(health.state, BackendServerState.Lost);
      health.noteReport(healthy, 600);
      assert.is(health.state, BackendServerState.Warming);
    });
  });

  describe("suspicion", () => {
    it("ends with a healthy report and returns after new silence", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteFailure(100);
      assert.ok(health.isSuspect(100));
      health.noteReport(healthy, 110);
      assert.not(health.isSuspect(2_000));
      health.noteSent(2_000);
      assert.ok(health.isSuspect(2_300));
      health.noteReport(healthy, 2_310);
      assert.not(health.isSuspect(2_400));
      assert.ok(health.isSuspect(2_600));
    });
  });

  describe("draining", () => {
    it("keeps the instant of its first observation", () => {
      const health = new ServerHealth(BackendServerState.Live);
      health.noteReport({ ...healthy, isDraining: true }, 500);
      health.noteDraining(900);
      assert.is(health.state, BackendServerState.Draining);
      assert.is(health.drainingSeenAtMs, 500);
    });
  });
});
