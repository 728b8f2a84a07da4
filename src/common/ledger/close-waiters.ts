import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/** Maximum number of concurrent waits at one leader. A further wait returns at once, and its caller asks again. */
const maxWaiters = 10_000;

/** Callers that wait until a request is closed. */
export class CloseWaiters implements Disposable {
	private readonly _waiters = new Map<string, Set<() => void>>();
	private _size = 0;

	constructor(private readonly _clock: Clock) {}

	get size(): number {
		return this._size;
	}

	/** Resolves when the request is closed, or after the timeout. */
	async wait(requestId: string, timeoutMs: number): Promise<void> {
		if (this._size >= maxWaiters) {
			return;
		}

		return new Promise(resolve => {
			const waiters = this._waiters.get(requestId) ?? new Set();
			this._waiters.set(requestId, waiters);
			this._size++;
			const finish = () => {
				timer.dispose();
				this._size--;
				waiters.delete(finish);
				if (waiters.size === 0) {
					this._waiters.delete(requestId);
				}

				resolve();
			};

			const timer = this._clock.setTimer(timeoutMs, finish);
			waiters.add(finish);
		});
	}

	/** Resolves all waits for a request. */
	notify(requestId: string): void {
		for (const finish of this._waiters.get(requestId) ?? []) {
			finish();
		}
	}

	/** Resolves all waits. */
	dispose(): void {
		for (const requestId of this._waiters.keys()) {
			this.notify(requestId);
		}
	}
}
