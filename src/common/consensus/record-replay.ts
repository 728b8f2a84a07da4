import {type LogEntry} from './log-entry.js';
import {type Snapshot} from './snapshot.js';
import {LogCorruptError} from './storage-errors.js';
import {type StoredRecord} from './stored-record.js';
import {type StoredState} from './stored-state.js';

/** Rebuilds the stored state by replaying the log's records in order. */
export class RecordReplay {
	private _hardState: StoredRecord = {term: 0, commitIndex: 0};
	private _entries: LogEntry[] = [];
	/** Position before the first entry. Its term is unknown if it is derived from the first entry. */
	private _base: {index: number; term?: number} | undefined;

	add(record: StoredRecord): void {
		const {identity, groupId, term, vote, commitIndex, reset, entries} = record;
		this._hardState = {
			identity: identity ?? this._hardState.identity, groupId: groupId ?? this._hardState.groupId, term, vote, commitIndex,
		};
		if (reset) {
			this._base = reset;
			this._entries = [];
		}

		if (entries?.[0]) {
			this._append(entries, entries[0].index);
		}
	}

	/**
	Combines the records with the latest snapshot.

	@returns the state. `mustReset` is set if the log does not reach the snapshot: the next batch must then reset the log to the snapshot.
	*/
	finish(snapshot: Snapshot | undefined): {state: StoredState; mustReset: boolean} {
		const {identity, groupId, term, vote, commitIndex} = this._hardState;
		const replayed = this._logFrom(snapshot);
		const log = replayed ?? {base: {index: snapshot!.index, term: snapshot!.term}, entries: []};
		return {
			state: {
				identity, groupId, term, vote, commitIndex, snapshot, ...log,
			},
			mustReset: !replayed,
		};
	}

	private _append(entries: readonly LogEntry[], first: number): void {
		this._base ??= {index: first - 1};
		const isBelowBase = first <= this._base.index;
		if (first > this._base.index + this._entries.length + 1 || (isBelowBase && this._base.term !== undefined)) {
			throw new LogCorruptError(`entry ${first} does not follow entry ${this._base.index + this._entries.length}`);
		}

		if (isBelowBase) {
			this._base = {index: first - 1};
			this._entries = [];
		}

		this._entries.length = first - this._base.index - 1;
		for (const entry of entries) {
			this._entries.push(entry);
		}
	}

	/** The entries with the position before them; undefined if the log does not contain the snapshot's last entry. */
	private _logFrom(snapshot: Snapshot | undefined): Pick<StoredState, 'base' | 'entries'> | undefined {
		const base = this._base ?? {index: 0, term: 0};
		const snapshotIndex = snapshot?.index ?? 0;
		if (base.index > snapshotIndex) {
			throw new LogCorruptError(`entries ${snapshotIndex + 1} to ${base.index} are missing`);
		}

		if (base.index === snapshotIndex) {
			return {base: {index: snapshotIndex, term: snapshot?.term ?? 0}, entries: this._entries};
		}

		if (this._entries[snapshotIndex - base.index - 1]?.term !== snapshot!.term) {
			return undefined;
		}

		// The term of the position before the first entry is not stored, so the first entry becomes the base.
		const [first, ...rest] = this._entries;
		return base.term === undefined ? {base: {index: first!.index, term: first!.term}, entries: rest} : {base: {index: base.index, term: base.term}, entries: this._entries};
	}
}
