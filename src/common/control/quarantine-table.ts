import {dropOldest} from '../base/drop-oldest.js';
import {type ControlResult} from './control-result.js';

/** Quarantined items of one kind, part of the control state. */
export class QuarantineTable {
	private readonly _revisions = new Map<string, number>();

	/** The oldest quarantine ends when there are more than `maxItems`. */
	constructor(private readonly _maxItems: number) {}

	/** Revisions at which the items were quarantined, oldest first. */
	get revisions(): ReadonlyMap<string, number> {
		return this._revisions;
	}

	add(index: number, item: string): ControlResult {
		if (!this._revisions.has(item)) {
			this._revisions.set(item, index);
			dropOldest(this._revisions, this._maxItems);
		}

		return {status: 'accepted', revision: index};
	}

	remove(index: number, item: string): ControlResult {
		this._revisions.delete(item);
		return {status: 'accepted', revision: index};
	}

	snapshot(): Array<[string, number]> {
		return [...this._revisions];
	}

	restore(rows: ReadonlyArray<[string, number]> = []): void {
		this._revisions.clear();
		for (const [item, revision] of rows) {
			this._revisions.set(item, revision);
		}
	}
}
