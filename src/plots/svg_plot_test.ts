import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { createSvgPlot, roundUpToTick } from "./svg_plot.ts";

describe("createSvgPlot", () => {
  it("draws the largest value at the top right of the axes", () => {
    const svg = createSvgPlot({
      title: "latency",
      xLabel: "s",
      yLabel: "ms",
      series: [{ name: "p99", points: [{ x: 0, y: 0 }, { x: 10, y: 100 }] }],
    });
    assert.match(svg, 'points="70.0,350.0 650.0,40.0"');
  });

  it("escapes titles and draws an empty line for a series without points", () => {
    const svg = createSvgPlot({
      title: "a < b & c",
      xLabel: "s",
      yLabel: "ms",
      series: [{ name: "none", points: [] }],
    });
    assert.match(svg, "a &lt; b &amp; c");
    assert.match(svg, 'points=""');
  });

  it("ends an axis at a round number", () => {
    assert.equal([0, 0.3, 1, 7, 120].map(roundUpToTick), [1, 0.5, 1, 10, 200]);
  });
});
