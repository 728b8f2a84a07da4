import {type LogEntry} from './log-entry.js';
import {type Member} from './member.js';

type Configuration = {index: number; members: readonly Member[]};

/** The part of the log in memory, with the members in effect at each entry. */
export class EntryLog {
	private _entries: LogEntry[] = [];
	private _baseIndex = 0;
	private _baseTerm = 0;
	private _configurations: Configuration[] = [{index: 0, members: []}];

	/** Index before the first entry in memory. */
	get baseIndex(): number {
		return this._baseIndex;
	}

	get lastIndex(): number {
		return this._baseIndex + this._entries.length;
	}

	get lastTerm(): number {
		return this._entries.at(-1)?.term ?? this._baseTerm;
	}

	/** Members according to the latest membership change, committed or not. */
	get members(): readonly Member[] {
		return this._configurations.at(-1)!.members;
	}

	/** Index of the latest membership change. */
	get membersIndex(): number {
		return this._configurations.at(-1)!.index;
	}

	membersAt(index: number): readonly Member[] {
		return this._configurations.findLast(item => item.index <= index)?.members ?? [];
	}

	/** Term of an entry; undefined if the entry is not in memory. */
	termAt(index: number): number | undefined {
		return index === this._baseIndex ? this._baseTerm : this.entryAt(index)?.term;
	}

	entryAt(index: number): LogEntry | undefined {
		return index > this._baseIndex ? this._entries[index - this._baseIndex - 1] : undefined;
	}

	/** At most `limit` entries with an index above the given one. */
	after(index: number, limit: number): LogEntry[] {
		const start = index - this._baseIndex;
		return this._entries.slice(start, start + limit);
	}

	/** Appends entries and overwrites existing ones from the first entry's index on. */
	append(entries: readonly LogEntry[]): void {
		const first = entries[0];
		if (!first) {
			return;
		}

		this.truncateFrom(first.index);
		for (const entry of entries) {
			this._entries.push(entry);
			if (entry.members) {
				this._configurations.push({index: entry.index, members: entry.members});
			}
		}
	}

	/** Removes the entries from the index on. */
	truncateFrom(index: number): void {
		if (index <= this.lastIndex) {
			this._entries.length = Math.max(0, index - this._baseIndex - 1);
			while (this._configurations.length > 1 && this._configurations.at(-1)!.index >= index) {
				this._configurations.pop();
			}
		}
	}

	/** Removes the entries up to and including the index. */
	compactTo(index: number): void {
		const term = this.termAt(index);
		if (index <= this._baseIndex || term === undefined) {
			return;
		}

		this._entries = this._entries.slice(index - this._baseIndex);
		this._baseIndex = index;
		this._baseTerm = term;
		const inEffect = this._configurations.findLastIndex(item => item.index <= index);
		this._configurations = this._configurations.slice(Math.max(0, inEffect));
	}

	/** Removes all entries; the log continues after the given entry. */
	reset(index: number, term: number, members: readonly Member[]): void {
		this._entries = [];
		this._baseIndex = index;
		this._baseTerm = term;
		this._configurations = [{index, members}];
	}
}
