import {type ReleaseCounts} from './release-evidence.js';

/** Time in milliseconds over which the request rate is measured. */
const rateWindowMs = 3000;
/** Minimum length of the measurement in milliseconds. */
const minRateMs = 2000;
/** Time in milliseconds until all hosts have reported their counts for the first time: one renewal and a margin. */
const firstReportsMs = 1200;
const msPerSecond = 1000;

/** Requests of a service since the start of its roll-out, as reported to this leader. */
export class ReleaseTraffic {
	/** Attempts sent to the new release. */
	exposed = 0;
	/** Attempts sent to all releases. */
	all = 0;
	private _peakPerSecond: number | undefined;
	private _firstAt: number | undefined;
	/** Earlier values of `all` with their times, oldest first. */
	private readonly _history: Array<{at: number; all: number}> = [];

	constructor(private readonly _target: string) {}

	/** Request rate in 1/s; undefined until it has been measured for long enough. */
	get perSecond(): number | undefined {
		const first = this._history[0];
		const last = this._history.at(-1);
		return first && last && last.at - first.at >= minRateMs ? (last.all - first.all) * msPerSecond / (last.at - first.at) : undefined;
	}

	/** Highest request rate in 1/s since the start; undefined until it has been measured for long enough. */
	get peakPerSecond(): number | undefined {
		return this._peakPerSecond;
	}

	/** `isComplete` tells whether all hosts that have reported to this leader have sent all their rows; the rate is not measured before. */
	update(rows: Iterable<ReleaseCounts>, now: number, isComplete = true): void {
		this.exposed = 0;
		this.all = 0;
		for (const {release, sent} of rows) {
			this.all += sent;
			this.exposed += release === this._target ? sent : 0;
		}

		if (this.all === 0) {
			return;
		}

		// A new leader gets the earlier counts of each host within a short time.
		this._firstAt ??= now;
		if (now - this._firstAt >= firstReportsMs && (isComplete || this._history.length > 0)) {
			this._history.push({at: now, all: this.all});
			while (this._history[1] && now - this._history[1].at >= rateWindowMs) {
				this._history.shift();
			}

			const {perSecond} = this;
			if (perSecond !== undefined) {
				this._peakPerSecond = Math.max(this._peakPerSecond ?? 0, perSecond);
			}
		}
	}
}
