import {performance} from 'node:perf_hooks';
import {SystemClock} from './system-clock.js';

/** Lead in milliseconds of the time of day over the monotonic clock above which the host is taken to have been suspended. */
const suspicionMs = 150;

/**
Monotonic clock that counts the time for which the host was suspended, which the clock of the system leaves out.
A step of the time of day forward cannot be told from a suspension and is counted as well: a lease then ends too early, never too late.
*/
export class SuspensionClock extends SystemClock {
	private _offset: number;
	private _suspendedMs = 0;

	constructor(
		private readonly _steady: () => number = () => performance.now(),
		private readonly _timeOfDay: () => number = () => Date.now(),
	) {
		super();
		this._offset = _timeOfDay() - _steady();
	}

	override now(): number {
		const steady = this._steady();
		const offset = this._timeOfDay() - steady;
		const lead = offset - this._offset;
		if (lead > suspicionMs) {
			this._suspendedMs += lead;
			this._offset = offset;
		} else if (lead < -suspicionMs) {
			this._offset = offset;
		}

		return steady + this._suspendedMs;
	}

	override wallTime(): number {
		return this._timeOfDay();
	}
}
