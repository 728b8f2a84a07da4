import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/** Long polls that wait for the next event or a timeout. */
export class Waiters implements Disposable {
	private readonly _waiting = new Set<() => void>();

	constructor(private readonly _clock: Clock) {}

	/** Resolves at the next call of `wake` or after the timeout. */
	async wait(timeoutMs: number): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				timer.dispose();
				this._waiting.delete(finish);
				resolve();
			};

			const timer = this._clock.setTimer(timeoutMs, finish);
			this._waiting.add(finish);
		});
	}

	/** Resolves all waiting calls. */
	wake(): void {
		for (const finish of this._waiting) {
			finish();
		}
	}

	dispose(): void {
		this.wake();
	}
}
