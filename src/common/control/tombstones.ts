import {tombstoneMs} from './control-times.js';

/** An incarnation that has left, with the Unix time in milliseconds at which it left. */
export interface Tombstone {
	readonly incarnation: number;
	readonly at: number;
}

/** Incarnations that have left or expired, kept so that a late announcement does not return them to the directory. */
export class Tombstones {
	private readonly _items = new Map<string, Tombstone>();

	/** Highest incarnation known to have left; undefined without a tombstone. */
	incarnation(id: string): number | undefined {
		return this._items.get(id)?.incarnation;
	}

	/** Adds a tombstone and deletes those older than an hour. */
	add(id: string, incarnation: number, at: number): void {
		this.removeExpired(at);
		if ((this.incarnation(id) ?? -1) < incarnation) {
			// Re-insertion keeps the map ordered by age.
			this._items.delete(id);
			this._items.set(id, {incarnation, at});
		}
	}

	/** Deletes tombstones older than an hour. */
	removeExpired(now: number): void {
		for (const [id, {at}] of this._items) {
			if (at + tombstoneMs < now) {
				this._items.delete(id);
			}
		}
	}

	snapshot(): Array<[string, Tombstone]> {
		return [...this._items];
	}

	restore(items: ReadonlyArray<[string, Tombstone]>): void {
		this._items.clear();
		for (const [id, item] of items) {
			this._items.set(id, item);
		}
	}
}
