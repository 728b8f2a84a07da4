import {type ConcurrencyLimit} from './concurrency-limit.js';

/** Constant limit, for plain services with a known capacity. */
export class FixedLimit implements ConcurrencyLimit {
	constructor(readonly current: number) {}

	recordSaturation(): void {
		// A fixed limit does not adapt.
	}
}
