import {type Clock} from '../base/clock.js';

/** Time by which a request must be answered. */
export class Deadline {
	/** Creates a deadline that expires after the given duration in milliseconds. */
	static after(clock: Clock, durationMs: number): Deadline {
		return new Deadline(clock, clock.now() + durationMs);
	}

	/** `at` is on the daemon's monotonic clock in milliseconds. */
	constructor(private readonly _clock: Clock, readonly at: number) {}

	/** Milliseconds left, at least 0. Other hosts are sent this duration and not a point in time, because clocks differ. */
	get remainingMs(): number {
		return Math.max(0, this.at - this._clock.now());
	}

	get isExpired(): boolean {
		return this.remainingMs === 0;
	}

	/** Whether work of the given expected duration can finish before the deadline. */
	allows(durationMs: number): boolean {
		return durationMs <= this.remainingMs;
	}

	/** Returns the earlier of this deadline and the given time, for example a lease expiry. */
	cappedAt(at: number): Deadline {
		return at < this.at ? new Deadline(this._clock, at) : this;
	}
}
