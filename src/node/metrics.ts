import {build, Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

/** Longer latencies are recorded as this one: one hour, in microseconds. */
const MAX_LATENCY_US = 3_600_000_000;

const PERCENTILES = [50, 99, 99.9] as const;

/** Latencies of one service or job class, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Counters and latency histograms of one instance. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly histograms = new Map<string, Map<string, Histogram>>();

  readonly requests = this.counter(
    'requests_total',
    'Requests of callers by service and outcome.',
    ['service', 'outcome'],
  );
  readonly refusals = this.counter('refusals_total', 'Refusals by kind.', [
    'kind',
  ]);
  readonly retries = this.counter(
    'retries_total',
    'Repeated attempts by service.',
    ['service'],
  );
  readonly evictions = this.counter(
    'evictions_total',
    'Tasks evicted from workers.',
    [],
  );
  readonly jobsEnded = this.counter(
    'jobs_ended_total',
    'Jobs that reached a final state, by state.',
    ['state'],
  );
  private readonly gauges = new Map<string, Gauge<string>>();

  /** Records a latency, in milliseconds, under a label of a histogram. */
  observe(name: string, label: string, milliseconds: number): void {
    let byLabel = this.histograms.get(name);
    if (byLabel === undefined) {
      byLabel = new Map();
      this.histograms.set(name, byLabel);
    }
    let histogram = byLabel.get(label);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        highestTrackableValue: MAX_LATENCY_US,
        numberOfSignificantValueDigits: 2,
        autoResize: true,
      });
      byLabel.set(label, histogram);
    }
    const microseconds = Math.round(Math.max(0, milliseconds) * 1000);
    histogram.recordValue(Math.min(microseconds, MAX_LATENCY_US));
  }

  /** Sets a gauge; the first call for a name creates it with `help`. */
  setGauge(name: string, help: string, value: number): void {
    let gauge = this.gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge({
        name: `jasminegauge_${name}`,
        help,
        registers: [this.registry],
      });
      this.gauges.set(name, gauge);
    }
    gauge.set(value);
  }

  /** Returns the summaries of a histogram by label. */
  summaries(name: string): Record<string, LatencySummary> {
    const result: Record<string, LatencySummary> = {};
    for (const [label, histogram] of this.histograms.get(name) ?? []) {
      result[label] = {
        count: histogram.totalCount,
        p50Ms: histogram.getValueAtPercentile(50) / 1000,
        p99Ms: histogram.getValueAtPercentile(99) / 1000,
        p999Ms: histogram.getValueAtPercentile(99.9) / 1000,
      };
    }
    return result;
  }

  /** Returns all metrics in the Prometheus text format. */
  async text(): Promise<string> {
    return (await this.registry.metrics()) + this.histogramText();
  }

  private counter(name: string, help: string, labelNames: string[]) {
    return new Counter({
      name: `jasminegauge_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  private histogramText(): string {
    const lines: string[] = [];
    for (const [name, byLabel] of this.histograms) {
      const metricName = `jasminegauge_${name}_milliseconds`;
      lines.push(`# HELP ${metricName} Latency in milliseconds.`);
      lines.push(`# TYPE ${metricName} summary`);
      for (const [label, histogram] of byLabel) {
        const labelValue = label.replace(/["\\\n]/g, '_');
        for (const percentile of PERCENTILES) {
          const value = histogram.getValueAtPercentile(percentile) / 1000;
          lines.push(
            `${metricName}{name="${labelValue}",quantile="${percentile / 100}"} ${value}`,
          );
        }
        lines.push(
          `${metricName}_count{name="${labelValue}"} ${histogram.totalCount}`,
        );
      }
    }
    return lines.length === 0 ? '' : `${lines.join('\n')}\n`;
  }
}
