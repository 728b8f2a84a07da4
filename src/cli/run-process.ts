import {randomUUID} from 'node:crypto';
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as wait} from 'node:timers/promises';
import {type CheckedFormat} from './checked-format.js';
import {runCli} from './cli.js';

/** Runs the command in the arguments of this process and sets its exit code. `formats` are checked besides service documents. */
export async function runProcess(formats: readonly CheckedFormat[] = []): Promise<void> {
	process.exitCode = await runCli(process.argv.slice(2), {
		env: process.env,
		formats,
		line(line) {
			process.stdout.write(`${line}\n`);
		},
		errorLine(line) {
			process.stderr.write(`${line}\n`);
		},
		readFile: async name => name === '-' ? text(process.stdin) : readFile(name, 'utf8'),
		writeFile: async (name, text) => writeFile(name, text),
		wait: async delayMs => wait(delayMs),
		newChangeId: () => randomUUID(),
	});
}
