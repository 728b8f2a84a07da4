// One run of a case: its record, its temporary folder, its deadline and its exit code.
/* eslint-disable no-await-in-loop -- polls in sequence */
import {
	mkdtempSync, rmSync, writeFileSync, appendFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** Time in milliseconds after which a run is given up. */
const limitMs = 110_000;

export const outcome = {held: 0, broken: 1, notRun: 2};

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Waits until a condition holds. @returns whether it did in time. */
export async function until(condition, timeoutMs, stepMs = 50) {
	for (const end = Date.now() + timeoutMs; Date.now() < end; await sleep(stepMs)) {
		if (await condition()) {
			return true;
		}
	}

	return false;
}

export class Case {
	/** Whether the disruption takes place. */
	hasTrouble = process.env.TROUBLE !== '0';
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	startedAt = Date.now();
	_cleanups = [];

	constructor(folder) {
		this._file = path.join(folder, 'record.txt');
		writeFileSync(this._file, '');
		this.record(`trouble: ${this.hasTrouble ? 'yes' : 'no'}`);
	}

	get now() {
		return Date.now() - this.startedAt;
	}

	record(text) {
		appendFileSync(this._file, `${(this.now / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}

	onEnd(cleanup) {
		this._cleanups.push(cleanup);
	}

	/** Plays the case. `play` returns whether the rule held; an error means that the case could not run. */
	async run(play) {
		let code = outcome.notRun;
		const limit = setTimeout(() => {
			this._end(outcome.notRun, `not run: more than ${limitMs} ms`);
		}, limitMs);
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.on(signal, () => {
				this._end(outcome.notRun, `not run: ${signal}`);
			});
		}

		let text;
		try {
			code = await play() ? outcome.held : outcome.broken;
			text = code === outcome.held ? 'the rule held' : 'the rule was broken';
		} catch (error) {
			text = `not run: ${error.stack}`;
		}

		clearTimeout(limit);
		this._end(code, text);
	}

	_end(code, text) {
		this.record(text);
		process.stdout.write(`${text}\n`);
		for (const cleanup of this._cleanups) {
			cleanup();
		}

		rmSync(this.folder, {recursive: true, force: true});
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the program of a case
	}
}
