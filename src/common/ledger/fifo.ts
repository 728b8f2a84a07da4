/** Queue with constant-time removal at the front. */
export class Fifo<T> implements Iterable<T> {
	private _items: T[] = [];
	private _head = 0;

	get size(): number {
		return this._items.length - this._head;
	}

	/** The oldest item. */
	get first(): T | undefined {
		return this._items[this._head];
	}

	push(item: T): void {
		this._items.push(item);
	}

	/** Removes and returns the oldest item. */
	shift(): T | undefined {
		if (this.size === 0) {
			return undefined;
		}

		const item = this._items[this._head];
		this._items[this._head++] = undefined as T;
		if (this._head > 32 && this._head * 2 > this._items.length) {
			this._items = this._items.slice(this._head);
			this._head = 0;
		}

		return item;
	}

	/** Adds an item and removes the oldest items above the limit. */
	pushBounded(item: T, limit: number): void {
		this.push(item);
		while (this.size > limit) {
			this.shift();
		}
	}

	/** Replaces the content. */
	reset(items: Iterable<T>): void {
		this._items = [...items];
		this._head = 0;
	}

	* [Symbol.iterator](): Iterator<T> {
		for (let index = this._head; index < this._items.length; index++) {
			yield this._items[index]!;
		}
	}
}
