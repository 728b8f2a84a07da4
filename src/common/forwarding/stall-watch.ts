import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/** Detects that nothing has arrived for some time. One timer serves many arrivals, because a stream may have thousands of them. */
export class StallWatch implements Disposable {
	private _timer: Disposable | undefined;
	private _limitMs = 0;
	private _activeAt = 0;
	private _isSuspended = false;

	/** `_onStall` returns whether to wait on for the same time. */
	constructor(private readonly _clock: Clock, private readonly _onStall: () => boolean) {}

	/** Starts to watch for a pause of the given length in milliseconds; 0 stops watching. */
	watch(limitMs: number): void {
		this.dispose();
		this._limitMs = limitMs;
		this._isSuspended = false;
		this._activeAt = this._clock.now();
		if (limitMs > 0) {
			this._schedule(limitMs);
		}
	}

	/** Records an arrival. */
	touch(): void {
		this._activeAt = this._clock.now();
	}

	/** Ignores pauses until `touch`, while the reader itself has stopped reading. */
	suspend(): void {
		this._isSuspended = true;
	}

	/** Ends `suspend`. */
	resume(): void {
		this._isSuspended = false;
		this.touch();
	}

	dispose(): void {
		this._timer?.dispose();
		this._timer = undefined;
	}

	private _schedule(delayMs: number): void {
		this._timer = this._clock.setTimer(delayMs, () => {
			const idleMs = this._isSuspended ? 0 : this._clock.now() - this._activeAt;
			if (idleMs < this._limitMs) {
				this._schedule(this._limitMs - idleMs);
				return;
			}

			this._timer = undefined;
			if (this._onStall()) {
				this._schedule(this._limitMs);
			}
		});
	}
}
