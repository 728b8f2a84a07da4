import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/** Abort signal that fires at a deadline or when its parent signal is aborted. */
export class DeadlineSignal implements Disposable {
	private readonly _controller = new AbortController();
	private readonly _timer: Disposable;
	private readonly _abort: () => void;
	private _isExpired = false;

	/** `deadlineAt` is on the monotonic clock in milliseconds. */
	constructor(clock: Clock, deadlineAt: number, private readonly _parent: AbortSignal) {
		this._abort = () => {
			this._controller.abort();
		};

		this._timer = clock.setTimer(deadlineAt - clock.now(), () => {
			this._isExpired = true;
			this._abort();
		});
		_parent.addEventListener('abort', this._abort, {once: true});
		if (_parent.aborted) {
			this._abort();
		}
	}

	get signal(): AbortSignal {
		return this._controller.signal;
	}

	/** Whether the deadline has passed. */
	get isExpired(): boolean {
		return this._isExpired;
	}

	dispose(): void {
		this._timer.dispose();
		this._parent.removeEventListener('abort', this._abort);
	}
}
