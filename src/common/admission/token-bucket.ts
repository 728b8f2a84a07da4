/** Token bucket. Its level may become negative, when actual usage exceeds the expected one. */
export class TokenBucket {
	private _level: number;
	private _refilledAt: number;
	private _rate = 0;
	private _capacity: number;

	/** `rate` is in units per second, `capacity` in units; the bucket starts full. */
	constructor(rate: number, capacity: number, now: number) {
		this._rate = rate;
		this._capacity = capacity;
		this._level = capacity;
		this._refilledAt = now;
	}

	/** Changes rate and capacity; units in the bucket are kept up to the new capacity. */
	configure(rate: number, capacity: number, now: number): void {
		this._refill(now);
		this._rate = rate;
		this._capacity = capacity;
		this._level = Math.min(this._level, capacity);
	}

	/** Units in the bucket; negative when more than expected were taken. */
	available(now: number): number {
		this._refill(now);
		return this._level;
	}

	/** Milliseconds until the bucket holds the units, or is full if the units exceed its capacity; 0 if it does now. */
	waitMs(units: number, now: number): number {
		this._refill(now);
		const missing = Math.min(units, this._capacity) - this._level;
		return missing <= 0 ? 0 : (this._rate > 0 ? 1000 * missing / this._rate : Number.POSITIVE_INFINITY);
	}

	/** Takes units; a negative number returns them. */
	take(units: number, now: number): void {
		this._refill(now);
		this._level = Math.min(this._capacity, this._level - units);
	}

	private _refill(now: number): void {
		this._level = Math.min(this._capacity, this._level + (this._rate * Math.max(0, now - this._refilledAt) / 1000));
		this._refilledAt = now;
	}
}
