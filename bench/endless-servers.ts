/**
Measures what servers that send bytes without end cost the other callers of an entry host, with the programs for the platform and the
servers as processes. Prints a table, and exits with 1 if a bound is broken.
Usage: npm run bench:endless [-- --program FOLDER --rows TEXT --rate FACTOR --hosts N --seconds N --sound]. `--program` names the
folder of another build, `--rows` parts of the names of the rows, separated by commas, `--rate` a factor of the requests for the faulty servers, `--hosts`
the entry hosts that get requests. `--sound` measures sound answers in small pieces instead.
*/
import {availableParallelism, loadavg} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, pathToFileURL} from 'node:url';
import {parseArgs} from 'node:util';
import {MeasuredFleet} from '../platform/testing/measured-fleet.js';
import {answerKinds, type AnswerKind} from './endless/answer-kinds.js';
import {callFromProcess} from './endless/caller-process.js';
import {type HostFigures, type ReadFigures} from './endless/host-figures.js';
import {ServerProcess} from './endless/server-process.js';

const {values} = parseArgs({
	options: {
		program: {type: 'string', default: 'target'},
		rows: {type: 'string', default: ''},
		rate: {type: 'string', default: '1'},
		hosts: {type: 'string', default: '2'},
		seconds: {type: 'string', default: '4'},
		sound: {type: 'boolean', default: false},
	},
});

const faultyPerSecond = 40;
const soundPerSecond = 20;
const faultyServers = 4;
const soundServers = 2;
const soundDeadlineMs = 3000;
const faultyDeadlineMs = 3000;
const timeoutMs = 4500;
const mixedRow = 'all of these';
const mixedSeconds = 15;
const settleMs = 500;
const maxPauseMs = 50;
/** What an answer may have besides its body, and before the end of an event, until it is not valid; and what may be read beyond it. */
const maxOverheadBytes = 32 * 1024;
const maxEventBytes = 64 * 1024;
const framingBytes = 1024;
const maxBytesBeyond = 64 * 1024;
const entries = 2;
const hosts = Number(values.hosts);
const network = `127.${20 + (process.pid % 200)}`;
const faultyIp = `${network}.4.1`;
const soundIp = `${network}.5.1`;
const noReads: ReadFigures = {bytes: 0, longest: 0, connections: 0};

const fleet = new MeasuredFleet({
	program: path.resolve(values.program, 'start.cjs'), probe: pathToFileURL(fileURLToPath(new URL('endless/host-probe.js', import.meta.url))).href, network, controls: 3, entries,
});

function print(cells: ReadonlyArray<string | number>): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

function megabytes(bytes: number): string {
	return (bytes / 1e6).toFixed(bytes < 1e7 ? 2 : 0);
}

async function hostFigures(): Promise<HostFigures[]> {
	return Promise.all(Array.from({length: hosts}, async (_, index) => fleet.figures(index) as Promise<HostFigures>));
}

/** Creates the calls of some seconds to each host in turn. */
function calls(perSecond: number, seconds: number, deadlineMs: number, kinds: ReadonlyArray<{readonly target: string; readonly kind?: AnswerKind}>) {
	const addresses = fleet.callerAddresses.slice(0, hosts);
	return Array.from({length: perSecond * seconds * hosts}, (_, index) => {
		const {target, kind} = kinds[Math.floor(index / hosts) % kinds.length]!;
		return {
			url: `http://${addresses[index % hosts]}${target}`, method: kind?.method ?? 'GET', headers: fleet.headers(deadlineMs), isReadSlowly: kind?.isReadSlowly ?? false,
		};
	});
}

/** Plays faulty servers beside sound ones. @returns whether all bounds are kept. */
async function play(name: string, kinds: readonly AnswerKind[], seconds: number): Promise<boolean> {
	const faulty = await ServerProcess.start({ip: faultyIp, faulty: Array.from({length: Math.max(faultyServers, kinds.length)}, (_, index) => kinds[index % kinds.length]!), sound: 0});
	const ids = await Promise.all(faulty.addresses.map(async (address, index) => fleet.addServer(index % 2 === 0 ? 'faulty-1' : 'faulty-2', address)));
	await delay(settleMs);
	await hostFigures();
	const faultyPerHost = faultyPerSecond * Number(values.rate);
	const targets = kinds.flatMap(kind => ['faulty-1', 'faulty-2'].map(service => ({target: `/${service}${kind.isStream ? '-stream' : ''}/a`, kind})));
	const [sound, bad] = await Promise.all([
		callFromProcess({calls: calls(soundPerSecond, seconds, soundDeadlineMs, [{target: '/sound/a'}]), intervalMs: 1000 / soundPerSecond / hosts, timeoutMs}),
		callFromProcess({calls: calls(faultyPerHost, seconds, faultyDeadlineMs, targets), intervalMs: 1000 / faultyPerHost / hosts, timeoutMs}),
	]);
	const figures = await hostFigures();
	await Promise.all(ids.map(async id => fleet.removeServer(id)));
	await faulty.close();
	const lost = sound.times.filter(ms => ms === null).length;
	const late = sound.times.filter(ms => ms !== null && ms > soundDeadlineMs).length;
	const slow = sound.times.filter(ms => ms !== null && ms > 1000).length;
	const reads = figures.map(({reads: all}) => all[faultyIp] ?? noReads);
	const longest = Math.max(...reads.map(read => read.longest));
	const heldMs = Math.max(...figures.map(({longestHeldMs}) => longestHeldMs));
	const isCut = kinds.some(kind => kind.isValid) || longest <= maxBytesBeyond + (kinds[0]!.isStream ? maxEventBytes + framingBytes : maxOverheadBytes);
	const isKept = lost + late === 0 && heldMs < maxPauseMs && isCut && fleet.ends.length === 0;
	print([
		name,
		megabytes(reads.reduce((sum, read) => sum + read.bytes, 0)),
		reads.reduce((sum, read) => sum + read.connections, 0),
		(longest / 1024).toFixed(0),
		`${lost} of ${sound.times.length}`,
		late + lost,
		slow + lost,
		heldMs.toFixed(0),
		Math.max(...figures.map(({longestPauseMs}) => longestPauseMs)).toFixed(0),
		(figures.reduce((sum, {processorMs}) => sum + processorMs, 0) / 1000).toFixed(1),
		megabytes(Math.max(...figures.map(({peakBytes}) => peakBytes))),
		Object.entries(bad.statuses).map(([status, count]) => `${count} ${status}`).join(', '),
		isKept ? 'kept' : 'broken',
	]);
	return isKept;
}

/** Measures sound answers in small pieces. */
async function playSound(name: string, target: string, count: number, perSecond: number): Promise<void> {
	await hostFigures();
	const {times, statuses} = await callFromProcess({
		calls: calls(count, 1, 10_000, [{target}]), intervalMs: 1000 / perSecond / hosts, timeoutMs: 10_000,
	});
	const figures = await hostFigures();
	const sorted = times.filter(ms => ms !== null).sort((a, b) => a - b);
	const quantile = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]?.toFixed(0) ?? '';
	print([
		name, times.length, times.length - sorted.length, quantile(0.5), quantile(0.99), quantile(1), (figures.reduce((sum, {processorMs}) => sum + processorMs, 0) / 1000).toFixed(2), Math.max(...figures.map(({longestHeldMs}) => longestHeldMs)).toFixed(0), JSON.stringify(statuses),
	]);
}

const sound = await ServerProcess.start({ip: soundIp, faulty: [], sound: soundServers});
let isKept = true;
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		fleet.close();
		process.exit(2);
	});
}

try {
	await fleet.start();
	await Promise.all(sound.addresses.map(async address => fleet.addServer('sound', address)));
	await delay(settleMs * 2);
	process.stdout.write(`${hosts} of ${entries} entry hosts with requests, ${faultyPerSecond * Number(values.rate)} faulty and ${soundPerSecond} sound requests a second each, ${values.seconds} s a row; ${availableParallelism()} cores, load ${loadavg()[0]!.toFixed(1)}\n\n`);
	if (values.sound) {
		print(['Sound answers', 'requests', 'lost', 'median ms', '99 % ms', 'most ms', 'processor s', 'longest held ms', 'answers']);
		print(Array.from({length: 9}, () => '---'));
		for (let run = 0; run < 3; run++) {
			await playSound('1 MiB in chunks of 64 bytes, 5 a second', '/sound/large', 20, 5); // eslint-disable-line no-await-in-loop -- one measurement at a time
			await playSound('streams of 70 events', '/sound-stream/a', 200, 1000); // eslint-disable-line no-await-in-loop -- as above
		}
	} else {
		print(['Without an end', 'MB read', 'connections', 'most KiB of one', 'sound lost', 'late or lost', 'over 1 s or lost', 'held ms', 'pause ms', 'processor s', 'peak MB', 'faulty answers', 'bounds']);
		print(Array.from({length: 13}, () => '---'));
		const isChosen = (name: string) => values.rows.split(',').some(part => name.includes(part));
		const rows = Object.entries(answerKinds).filter(([name]) => isChosen(name));
		for (const [name, kind] of rows) {
			isKept = await play(name, [kind], Number(values.seconds)) && isKept; // eslint-disable-line no-await-in-loop -- one row at a time
		}

		if (isChosen(mixedRow)) {
			isKept = await play(mixedRow, Object.values(answerKinds), mixedSeconds) && isKept;
		}
	}

	process.stdout.write(`\nload ${loadavg()[0]!.toFixed(1)}; hosts that ended: ${fleet.ends.join('; ') || 'none'}\n`);
} finally {
	fleet.close();
	await sound.close();
}

process.exitCode = isKept ? 0 : 1;
