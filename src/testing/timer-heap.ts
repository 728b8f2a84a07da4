/** Timer in a `TimerHeap`. A cancelled timer loses its callback and stays in the heap until it is due. */
export interface HeapTimer {
	readonly due: number;
	/** Order among timers that are due at the same time. */
	readonly order: number;
	callback: (() => void) | undefined;
}

/** Binary heap of timers, sorted by due time and then by order of creation. */
export class TimerHeap {
	private readonly _heap: HeapTimer[] = [];
	private _order = 0;

	/** Timer that is due first. */
	get first(): HeapTimer | undefined {
		return this._heap[0];
	}

	/** Adds a timer with the next order number. */
	add(due: number, callback: () => void): HeapTimer {
		const timer: HeapTimer = {due, order: this._order++, callback};
		const heap = this._heap;
		let at = heap.push(timer) - 1;
		while (at > 0) {
			const parent = Math.floor((at - 1) / 2);
			if (!isBefore(timer, heap[parent]!)) {
				break;
			}

			heap[at] = heap[parent]!;
			at = parent;
		}

		heap[at] = timer;
		return timer;
	}

	/** Removes the timer that is due first. */
	removeFirst(): void {
		const heap = this._heap;
		const last = heap.pop();
		if (!last || heap.length === 0) {
			return;
		}

		let at = 0;
		for (;;) {
			let child = (2 * at) + 1;
			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (child >= heap.length || !isBefore(heap[child]!, last)) {
				break;
			}

			heap[at] = heap[child]!;
			at = child;
		}

		heap[at] = last;
	}
}

function isBefore(a: HeapTimer, b: HeapTimer): boolean {
	return a.due < b.due || (a.due === b.due && a.order < b.order);
}
