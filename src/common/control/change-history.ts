import {changeDigest, type ChangeRecord} from './change-record.js';
import {type ControlResult} from './control-result.js';

/** Number of change ids remembered to detect resends: more than four days at 2,100 changes a day. */
export const maxRememberedChanges = 10_000;

/** Most recent change ids with their outcomes, part of the control state. */
export class ChangeHistory {
	private readonly _changes = new Map<string, ChangeRecord>();

	get size(): number {
		return this._changes.size;
	}

	/** Applies a change once. A resend gets the first outcome; reuse of the id with different content is a conflict. */
	applyOnce(changeId: string, content: unknown, index: number, change: () => ControlResult): ControlResult {
		const digest = changeDigest(content);
		const earlier = this._changes.get(changeId);
		if (earlier && earlier.digest !== digest) {
			return {
				status: 'conflict', code: 'change-id-reused', message: `change id ${changeId} was used for another change`, revision: index,
			};
		}

		const result = earlier?.result ?? change();
		if (!earlier) {
			this._remember(changeId, {digest, result});
		}

		return result;
	}

	snapshot(): Array<[string, ChangeRecord]> {
		return [...this._changes];
	}

	restore(changes: ReadonlyArray<[string, ChangeRecord]>): void {
		this._changes.clear();
		for (const [changeId, record] of changes) {
			this._changes.set(changeId, record);
		}
	}

	private _remember(changeId: string, record: ChangeRecord): void {
		this._changes.set(changeId, record);
		if (this._changes.size > maxRememberedChanges) {
			this._changes.delete(this._changes.keys().next().value!);
		}
	}
}
