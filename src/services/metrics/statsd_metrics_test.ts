import { createSocket } from "node:dgram";
import { once } from "node:events";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { RequestClass } from "../../types/enums.ts";
import { CounterName, TimingName } from "./metrics.ts";
import { StatsdMetrics } from "./statsd_metrics.ts";

function createMetrics(address?: string): StatsdMetrics {
  return new StatsdMetrics({ address, daemonId: "daemon-1" });
}

describe("StatsdMetrics", () => {
  describe("with many different labels", () => {
    it("limits the tags of a counter and preserves their sum", () => {
      const metrics = createMetrics();
      for (let index = 0; index < 1_000; index++) {
        metrics.count(CounterName.RequestsRefused, `tag-${index}`);
      }
      const counts = [...metrics.counters().values()];
      assert.ok(counts.length <= 65);
      assert.is(counts.reduce((sum, count) => sum + count, 0), 1_000);
    });

    it("limits the customers with histograms and preserves their total count", () => {
      const metrics = createMetrics();
      for (let index = 0; index < 1_000; index++) {
        metrics.record(TimingName.Total, 1, {
          customer: `customer-${index}`,
          requestClass: RequestClass.Archive,
        });
      }
      const histograms = metrics.histograms();
      assert.ok(histograms.length <= 201);
      assert.is(histograms.reduce((sum, h) => sum + h.count, 0), 1_000);
    });
  });

  describe("with a collector", () => {
    it("sends names, values and tags", async () => {
      const socket = createSocket("udp4").bind(0, "127.0.0.1");
      await once(socket, "listening");
      const metrics = createMetrics(`127.0.0.1:${socket.address().port}`);
      const received = once(socket, "message");
      metrics.count(CounterName.RequestsRefused, "SR4001", 2);
      metrics.record(TimingName.Total, 3, {
        customer: "cuadrillas",
        requestClass: RequestClass.Confirmation,
      });
      await metrics.stop();
      const text = String((await received)[0]);
      socket.close();
      assert.match(
        text,
        /skylarkridge\.requests\.refused:2\|c\|#.*daemon:daemon-1.*SR4001/,
      );
      assert.match(text, /skylarkridge\.request\.total_ms:3\|h\|#/);
      assert.match(text, /customer:cuadrillas,class:confirmation/);
    });
  });
});
