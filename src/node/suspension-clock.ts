import {performance} from 'node:perf_hooks';
import {SystemClock} from './system-clock.js';

/** Lead in milliseconds of the time of day over the monotonic clock above which the host counts as having been suspended. */
const suspensionThresholdMs = 150;

/**
Monotonic clock that includes the time for which the host was suspended, which the system's monotonic clock leaves out.
A forward step of the time of day cannot be distinguished from a suspension and is counted as well: a lease may then expire too early, never too late.
*/
export class SuspensionClock extends SystemClock {
	private _offset: number;
	private _suspendedMs = 0;

	constructor(
		private readonly _monotonic: () => number = () => performance.now(),
		private readonly _timeOfDay: () => number = () => Date.now(),
	) {
		super();
		this._offset = _timeOfDay() - _monotonic();
	}

	override now(): number {
		const monotonic = this._monotonic();
		const offset = this._timeOfDay() - monotonic;
		const lead = offset - this._offset;
		if (lead > suspensionThresholdMs) {
			this._suspendedMs += lead;
			this._offset = offset;
		} else if (lead < -suspensionThresholdMs) {
			this._offset = offset;
		}

		return monotonic + this._suspendedMs;
	}

	override wallTime(): number {
		return this._timeOfDay();
	}
}
