/** Serves counters and histograms over HTTP, in the Prometheus text format. */
import { createServer, type Server } from "node:http";
import { listen } from "../../host/listen.ts";
import type { ServiceLookup } from "../../kernel/kernel.ts";
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { HistogramSummary, Metrics } from "./metrics.ts";

const metricsPath = "/metrics";
const statusOk = 200;
const statusNotFound = 404;
const metricNamePrefix = "skylarkridge_";

/** The listen address. */
export interface MetricsListenerOptions {
  readonly host: string;
  readonly port: number;
}

/** Answers the requests of collectors. */
export class MetricsListener extends Service {
  override readonly name = ServiceName.MetricsListener;
  readonly #options: MetricsListenerOptions;
  #server: Server | undefined;

  constructor(options: MetricsListenerOptions) {
    super();
    this.#options = options;
  }

  override get dependencies(): readonly ServiceName[] {
    return [ServiceName.Metrics];
  }

  override start(services: ServiceLookup): Promise<void> {
    const metrics = services.get(ServiceName.Metrics);
    const server = createServer((request, response) => {
      if (request.url !== metricsPath) {
        return void response.writeHead(statusNotFound).end();
      }
      response.writeHead(statusOk, { "content-type": "text/plain" });
      response.end(formatMetrics(metrics));
    });
    this.#server = server;
    return listen(server, this.#options);
  }

  override stop(): Promise<void> {
    this.#server?.close();
    this.#server?.closeAllConnections();
    return Promise.resolve();
  }
}

/** Formats all counters, then all histograms as summaries. */
export function formatMetrics(
  metrics: Pick<Metrics, "counters" | "histograms">,
): string {
  const lines: string[] = [];
  for (const [name, count] of metrics.counters()) {
    const [, counter = name, cause] = /^([^{]+)(?:\{(.*)\})?$/.exec(name) ?? [];
    const labels = cause === undefined ? "" : `{cause="${cause}"}`;
    lines.push(`${toMetricName(counter)}_total${labels} ${count}`);
  }
  for (const summary of metrics.histograms()) {
    lines.push(...formatSummary(summary));
  }
  return `${lines.join("\n")}\n`;
}

function formatSummary(summary: HistogramSummary): string[] {
  const name = toMetricName(summary.timing);
  const labels =
    `service="${summary.customer}",class="${summary.requestClass}"`;
  const quantiles: readonly (readonly [string, number])[] = [
    ["0.5", summary.p50Ms],
    ["0.9", summary.p90Ms],
    ["0.99", summary.p99Ms],
    ["1", summary.maxMs],
  ];
  return [
    ...quantiles.map(([quantile, valueMs]) =>
      `${name}{${labels},quantile="${quantile}"} ${valueMs}`
    ),
    `${name}_count{${labels}} ${summary.count}`,
  ];
}

function toMetricName(name: string): string {
  return metricNamePrefix + name.replaceAll(/[^a-z0-9]/g, "_");
}
