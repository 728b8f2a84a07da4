import {type Snapshot} from './snapshot.js';
import {type SnapshotChunk} from './snapshot-chunk.js';

/** Assembles a snapshot from its parts. */
export class SnapshotReceiver {
	private _key = '';
	private _parts: string[] = [];
	private _length = 0;

	/**
	Adds a part.
	@returns the complete snapshot after the last part, `pending` before that, `refused` if parts are missing.
	*/
	add({from, term, head, offset, part, isLast}: SnapshotChunk): Snapshot | 'pending' | 'refused' {
		const key = `${from} ${term} ${head.index}`;
		if (offset === 0) {
			this._key = key;
			this._parts = [];
			this._length = 0;
		}

		if (key !== this._key || offset > this._length) {
			return 'refused';
		}

		if (offset === this._length) {
			this._parts.push(part);
			this._length += part.length;
		}

		if (!isLast) {
			return 'pending';
		}

		const state = this._parts.join('');
		this._key = '';
		this._parts = [];
		return {...head, state};
	}
}
