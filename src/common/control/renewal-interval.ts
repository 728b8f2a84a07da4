import {maxConfirmIntervalMs, minRenewIntervalMs, renewIntervalMs} from './control-times.js';

/** Decides how long after a renewal the next one is sent. */
export class RenewalInterval {
	private _confirmIntervalMs = minRenewIntervalMs;

	/**
	Interval in milliseconds from one renewal to the next. Newly applied entries are confirmed early, because a revision is in force
	only after its confirmation. During a burst of commits the interval doubles with each renewal, up to a maximum. A renewal
	that the leader was not allowed to hold is followed by one that it may hold, so that the daemon hears of the next change at once.
	*/
	next(mayBeHeld: boolean, hasAdvanced: boolean): number {
		if (!mayBeHeld) {
			return minRenewIntervalMs;
		}

		if (!hasAdvanced) {
			this._confirmIntervalMs = minRenewIntervalMs;
			return renewIntervalMs;
		}

		const intervalMs = this._confirmIntervalMs;
		this._confirmIntervalMs = Math.min(2 * intervalMs, maxConfirmIntervalMs);
		return intervalMs;
	}
}
