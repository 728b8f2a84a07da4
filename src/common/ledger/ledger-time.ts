import {type Clock} from '../base/clock.js';

/** Maximum speed of the ledger time relative to the leader's monotonic clock. Above 1, so that it can catch up after an outage. */
const maxRate = 2;
/** Milliseconds by which the ledger time may jump at the start of a term, to cover the time without a leader. */
const startAllowanceMs = 10_000;

/**
Time that a leader stamps on its commands: its wall clock, limited so that it never runs far ahead of the ledger time.
Without the limit, a wrong clock at one voter could expire all keys and pins at once; with it, they live for at least half
of their retention time. If the ledger time lags after an outage, they are only kept longer.
*/
export class LedgerTime {
	private _reference: {readonly time: number; readonly now: number};

	/** `state.time` is the ledger time in Unix milliseconds, 0 before the first command. */
	constructor(private readonly _clock: Clock, private readonly _state: {readonly time: number}) {
		this._reference = this._createReference();
	}

	/** Call at the start of a term. */
	startTerm(): void {
		this._reference = this._createReference();
	}

	/** Unix milliseconds for the next command. */
	stamp(): number {
		const wall = Math.floor(this._clock.wallTime());
		if (this._reference.time === 0 || this._latestTime() < this._state.time) {
			// Commands of earlier terms were applied after the start of this term.
			this._reference = this._createReference();
		}

		return this._reference.time === 0 ? wall : Math.min(wall, this._latestTime());
	}

	private _latestTime(): number {
		const {time, now} = this._reference;
		return Math.floor(time + startAllowanceMs + (maxRate * (this._clock.now() - now)));
	}

	private _createReference(): {time: number; now: number} {
		return {time: this._state.time, now: this._clock.now()};
	}
}
