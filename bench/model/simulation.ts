import {type Clock} from '../../src/common/base/clock.js';
import {type Disposable} from '../../src/common/base/disposable.js';

type Timer = {at: number; order: number; callback: (() => void) | undefined};

/** Microtask turns after each timer, so that chains of promises complete; the longest chain has six. */
const turnsToSettle = 10;

/** Clock of a discrete-event simulation; time advances from timer to timer. */
export class Simulation implements Clock {
	private _now = 0;
	private _order = 0;
	private readonly _heap: Timer[] = [];

	now(): number {
		return this._now;
	}

	wallTime(): number {
		return this._now;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer: Timer = {at: this._now + Math.max(0, delayMs), order: this._order++, callback};
		this._push(timer);
		return {
			dispose() {
				timer.callback = undefined;
			},
		};
	}

	/** Runs all timers that are due by the given time. */
	run(until: number): void {
		while (this._step(until)) {
			// Each step runs one timer.
		}
	}

	/** Runs timers as long as the condition holds. */
	runWhile(condition: () => boolean): void {
		while (condition() && this._step(Number.MAX_VALUE)) {
			// Each step runs one timer.
		}
	}

	/** Like `run`, but also lets promises settle after each timer. */
	async runSettled(until: number): Promise<void> {
		while (this._step(until)) {
			for (let turn = 0; turn < turnsToSettle; turn++) {
				// eslint-disable-next-line no-await-in-loop -- each turn of the microtask queue may enqueue more
				await Promise.resolve();
			}
		}
	}

	private _step(until: number): boolean {
		const first = this._heap[0];
		if (!first || first.at > until) {
			this._now = Math.max(this._now, until);
			return false;
		}

		this._pop();
		this._now = first.at;
		first.callback?.();
		return true;
	}

	private _push(timer: Timer): void {
		const heap = this._heap;
		let index = heap.length;
		heap.push(timer);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(timer, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = timer;
	}

	private _pop(): void {
		const heap = this._heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
	}
}

function isBefore(a: Timer, b: Timer): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}
