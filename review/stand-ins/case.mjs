import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Fleet} from './fleet.mjs';
import {Record} from './record.mjs';

/** Exit codes of a case. */
export const outcome = {held: 0, broken: 1, notRun: 2};

/** Time in milliseconds after which a run is given up. */
const limitMs = 110_000;

/**
Runs a case: creates the deployment, calls `play` and exits with its outcome. Ends all processes first.

@param moduleUrl `import.meta.url` of the case, whose folder gets the record.
*/
export async function runCase(moduleUrl, options, play) {
	const folder = path.dirname(fileURLToPath(moduleUrl));
	const record = new Record(path.join(folder, 'record.txt'));
	const hasTrouble = process.env.TROUBLE !== '0';
	record.add(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
	let fleet;
	const closeables = [];
	let code = outcome.notRun;
	const limit = setTimeout(() => {
		record.add('the run took too long');
		finish();
	}, limitMs);
	const finish = async () => {
		clearTimeout(limit);
		for (const item of closeables) {
			item.close();
		}

		await fleet?.close(process.env.KEEP === '1');
		record.add(`exit code ${code}`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the result of the case
	};

	for (const event of ['uncaughtException', 'unhandledRejection']) {
		process.once(event, error => {
			record.add(`the case could not run: ${error.stack}`);
			code = outcome.notRun;
			finish();
		});
	}

	try {
		fleet = new Fleet({root: path.join(folder, '../..'), record, ...options});
		code = await play({
			fleet, record, hasTrouble, closeLater(item) {
				closeables.push(item);
				return item;
			},
		});
	} catch (error) {
		record.add(`the case could not run: ${error.stack}`);
	}

	await finish();
}
