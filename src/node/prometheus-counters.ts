import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type Counters, type Tags} from '../common/base/counters.js';

/** Upper bounds in milliseconds of the histogram buckets: from a local call to the longest timeout of a route. */
const bucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000];

/** Counters, gauges and histograms in the Prometheus text format. A value that cannot be recorded is dropped and counted: no caller depends on a metric. */
export class PrometheusCounters implements Counters {
	private readonly _registry = new Registry();
	private readonly _counters = new Map<string, Counter>();
	private readonly _gauges = new Map<string, Gauge>();
	private readonly _histograms = new Map<string, Histogram>();
	private readonly _dropped = new Counter({
		name: 'catkinbeam_metrics_dropped_total', help: 'values that could not be recorded', registers: [this._registry],
	});

	increment(name: string, value = 1, tags: Tags = {}): void {
		// The counter would take this one, and have no value from then on.
		if (Number.isNaN(value)) {
			this._dropped.inc();
			return;
		}

		this._record(() => {
			this._getOrCreate(this._counters, `${name}.total`, tags, (metric, labelNames) => new Counter({
				name: metric, help: name, labelNames, registers: [this._registry],
			})).inc(tags, value);
		});
	}

	gauge(name: string, value: number, tags: Tags = {}): void {
		this._record(() => {
			this._getOrCreate(this._gauges, name, tags, (metric, labelNames) => new Gauge({
				name: metric, help: name, labelNames, registers: [this._registry],
			})).set(tags, value);
		});
	}

	timing(name: string, durationMs: number, tags: Tags = {}): void {
		this._record(() => {
			this._getOrCreate(this._histograms, `${name}.ms`, tags, (metric, labelNames) => new Histogram({
				name: metric, help: name, labelNames, buckets: bucketsMs, registers: [this._registry],
			})).observe(tags, durationMs);
		});
	}

	/** Metrics page. */
	async text(): Promise<string> {
		return this._registry.metrics();
	}

	private _record(record: () => void): void {
		try {
			record();
		} catch {
			this._dropped.inc();
		}
	}

	private _getOrCreate<Metric>(metrics: Map<string, Metric>, name: string, tags: Tags, create: (name: string, labelNames: string[]) => Metric): Metric {
		let metric = metrics.get(name);
		if (!metric) {
			metric = create(`catkinbeam_${name.replaceAll(/[^a-zA-Z\d]/gv, '_')}`, Object.keys(tags));
			metrics.set(name, metric);
		}

		return metric;
	}
}
