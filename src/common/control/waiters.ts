import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/** Number of calls that are resolved before other work of the process has a turn. */
const sliceSize = 8;

/** Long polls that wait for the next event or a timeout. */
export class Waiters implements Disposable {
	private readonly _waiting = new Map<() => void, string | undefined>();
	private _nextSlice: Disposable | undefined;

	constructor(private readonly _clock: Clock) {}

	/** Resolves at the next call of `wake`, of `wakeOne` with the same key, or after the timeout. */
	async wait(timeoutMs: number, key?: string): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				timer.dispose();
				this._waiting.delete(finish);
				resolve();
			};

			const timer = this._clock.setTimer(timeoutMs, finish);
			this._waiting.set(finish, key);
		});
	}

	/** Resolves all waiting calls. */
	wake(): void {
		for (const finish of this._waiting.keys()) {
			finish();
		}
	}

	/** Resolves all calls that are waiting now, some at a time, so that other work of the process is not held up by the work that follows. */
	wakeInSlices(): void {
		// Whoever still waits for an earlier slice is among these.
		this._nextSlice?.dispose();
		this._wakeSlice([...this._waiting.keys()]);
	}

	/** Resolves the waiting calls with a key. */
	wakeOne(key: string): void {
		for (const [finish, other] of this._waiting) {
			if (other === key) {
				finish();
			}
		}
	}

	dispose(): void {
		this._nextSlice?.dispose();
		this.wake();
	}

	private _wakeSlice(all: ReadonlyArray<() => void>): void {
		for (const finish of all.slice(0, sliceSize)) {
			if (this._waiting.has(finish)) {
				finish();
			}
		}

		if (all.length > sliceSize) {
			this._nextSlice = this._clock.setTimer(0, () => {
				this._wakeSlice(all.slice(sliceSize));
			});
		}
	}
}
