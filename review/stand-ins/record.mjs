import {appendFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** Log of one run: what was sent, answered and run, with the time in milliseconds since the start. */
export class Record {
	constructor(file) {
		this._file = file;
		writeFileSync(file, '');
	}

	/** Adds a line. */
	add(text) {
		appendFileSync(this._file, `${(performance.now() / 1000).toFixed(3)} ${text}\n`);
	}
}
