import {dropOldest} from '../base/drop-oldest.js';
import {type QuarantinePart} from './control-command.js';
import {type ControlResult} from './control-result.js';

/** Maximum number of quarantined parts; the oldest quarantine ends when there are more. */
const maxParts = 100;

/** Parts of prompts under quarantine, part of the control state. */
export class QuarantinedParts {
	private readonly _parts = new Map<string, number>();

	/** Revisions at which the parts were quarantined, oldest first. */
	get revisions(): ReadonlyMap<string, number> {
		return this._parts;
	}

	apply(index: number, {type, part}: QuarantinePart): ControlResult {
		if (type === 'lift-part-quarantine') {
			this._parts.delete(part);
		} else if (!this._parts.has(part)) {
			this._parts.set(part, index);
			dropOldest(this._parts, maxParts);
		}

		return {status: 'accepted', revision: index};
	}

	snapshot(): Array<[string, number]> {
		return [...this._parts];
	}

	restore(rows: ReadonlyArray<[string, number]> = []): void {
		this._parts.clear();
		for (const [part, revision] of rows) {
			this._parts.set(part, revision);
		}
	}
}
