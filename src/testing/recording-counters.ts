import {type Counters} from '../common/base/counters.js';

/** Counters that record their sums and the last values of gauges by name. */
export class RecordingCounters implements Counters {
	readonly sums = new Map<string, number>();
	readonly gauges = new Map<string, number>();

	increment(name: string, value = 1): void {
		this.sums.set(name, this.sum(name) + value);
	}

	gauge(name: string, value: number): void {
		this.gauges.set(name, value);
	}

	timing(): void {
		// Timings are not recorded.
	}

	/** Returns the sum of a counter over all tags. */
	sum(name: string): number {
		return this.sums.get(name) ?? 0;
	}
}
