import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { RequestClass } from "../../types/enums.ts";
import { CounterName, TimingName } from "./metrics.ts";
import { formatMetrics } from "./metrics_listener.ts";
import { StatsdMetrics } from "./statsd_metrics.ts";

describe("formatMetrics", () => {
  it("formats counters with their cause, and histograms with quantiles", () => {
    const metrics = new StatsdMetrics({ address: undefined, daemonId: "d" });
    metrics.count(CounterName.RequestsReceived);
    metrics.count(CounterName.RequestsRefused, "overloaded", 3);
    metrics.record(TimingName.Total, 20, {
      customer: "roster",
      requestClass: RequestClass.LiveRead,
    });
    const lines = formatMetrics(metrics).trimEnd().split("\n");
    assert.ok(lines.includes("skylarkridge_requests_received_total 1"));
    assert.ok(
      lines.includes(
        'skylarkridge_requests_refused_total{cause="overloaded"} 3',
      ),
    );
    assert.ok(
      lines.includes(
        'skylarkridge_request_total_ms_count{service="roster",class="live-read"} 1',
      ),
    );
  });
});
