import {type LedgerWire} from './ledger-samples.js';
import {type NamedLine} from './lines.js';
import {type Table} from './page-tables.js';
import {type Samples} from './samples.js';
import {formatNumber} from './format-number.js';

/** System size for which the load of each role is calculated. */
type Size = {readonly name: string; readonly daemons: number; readonly requestsPerSecond: number};

const target: Size = {name: 'target', daemons: 370, requestsPerSecond: 8000};
const today: Size = {name: 'today', daemons: 9, requestsPerSecond: 16};
const linger = 'linger 100 ms for opens and closes';
const noLinger = 'no linger (today)';
/** Estimated bytes of a directory entry in a reply, for an engine with two offers. */
const estimatedEntryBytes = 400;
/** Followers that receive each log entry from the leader, with three voters. */
const followers = 2;

function predict(lines: readonly NamedLine[], quantity: string, x: number): number {
	const {line} = lines.find(candidate => candidate.quantity === quantity)!;
	return line.intercept + (line.slope * x);
}

function batchUs(lines: readonly NamedLine[], records: number): number {
	return predict(lines, 'ledger batch at the leader behind HTTP', records);
}

function atTarget(runs: readonly LedgerWire[]): LedgerWire {
	return runs.find(run => Math.abs(run.requestsPerSecond - (8000 / 370)) < 0.01)!;
}

/** Table rows of one size: role, quantity, figure, how the figure follows from measurements, and budget. */
function rows(samples: Samples, lines: readonly NamedLine[], {name, daemons, requestsPerSecond}: Size): Table {
	const {control, memory, ledger, commits} = samples;
	const renewal = name === 'target' ? control.target : control.today;
	const perDaemon = requestsPerSecond / daemons;
	const noLingerBytes = predict(lines, `ledger bytes on the socket, ${noLinger}`, perDaemon);
	const lingerBytes = predict(lines, `ledger bytes on the socket, ${linger}`, perDaemon);
	const calls = Math.max(0, predict(lines, `ledger calls, ${noLinger}`, perDaemon)) * daemons;
	const recordsPerBatch = 2 * requestsPerSecond / calls;
	const logBytes = atTarget(ledger.wire.get(noLinger)!).logBytesPerRequest * requestsPerSecond;
	const commitUs = Math.min(...commits.map(run => run.cpuShare * 1e6 / run.commitsPerSecond));
	const leaderCpu = (renewal.result.leaderUs * daemons / 10_000) + (renewal.result.sweepMs / 10);
	const httpCpu = control.http.cpuUs * daemons / 10_000;
	const copy = name === 'target' ? memory.targetCopyBytes : memory.todayCopyBytes;
	return [
		['entry host', 'renewal', `${formatNumber(renewal.wireBytes / 1000)} KB/s`, 'measured, one renewal a second', '11 KB/s'],
		['entry host', 'ledger, no linger', `${formatNumber(noLingerBytes / 1000)} KB/s`, 'line over requests/s', '11 KB/s with the renewal'],
		['entry host', 'ledger, linger 100 ms', `${formatNumber(lingerBytes / 1000)} KB/s`, 'line over requests/s', '11 KB/s with the renewal'],
		[
			'entry host',
			'processor for renewals',
			`${formatNumber((renewal.result.daemonUs + control.http.cpuUs) / 10_000)} % of a core`,
			'daemon and HTTP; HTTP with both ends, so an upper bound',
			'2.1 %',
		],
		['entry host', 'memory for control', `${formatNumber(copy / 1e6)} MB`, 'heap of a copy with 10,000 change ids; sections not included', '32 MB'],
		['entry host', 'memory of the process', `${formatNumber(memory.daemonResidentBytes / 1e6)} MB`, 'resident, idle daemon that is a voter, without engines', 'none stated'],
		['control host with disk', 'log of the ledger', `${formatNumber(logBytes / 1e6)} MB/s`, 'log bytes a request', 'none stated'],
		['control host with disk', 'processor for commits', `${formatNumber(calls * commitUs / 10_000)} % of a core`, 'calls/s times cost of a commit, three members together', 'one core a member'],
		['control leader', 'messages', `${formatNumber(daemons)} renewals/s`, 'one for each daemon', 'none stated'],
		['control leader', 'processor for renewals', `${formatNumber(leaderCpu)} % of a core`, 'measured, without HTTP', 'one core'],
		['control leader', 'processor for HTTP', `at most ${formatNumber(httpCpu)} % of a core`, 'both ends', 'one core'],
		['control leader', 'bytes', `${formatNumber(renewal.wireBytes * daemons / 1e6)} MB/s`, 'renewals of all daemons', 'none stated'],
		['ledger leader', 'messages', `${formatNumber(calls)} batches/s`, 'line of calls times daemons, no linger', 'none stated'],
		['ledger leader', 'processor behind HTTP', `${formatNumber(calls * batchUs(lines, recordsPerBatch) / 10_000)} % of a core`, 'line of a batch; without replication', 'one core'],
		['ledger leader', 'bytes', `${formatNumber(((noLingerBytes * daemons) + (logBytes * followers)) / 1e6)} MB/s`, 'entry hosts and two followers, followers without headers', 'none stated'],
		[
			'ledger leader',
			'open records',
			`${formatNumber(requestsPerSecond * 10 * lines.find(line => line.quantity === 'heap of ledger, open record')!.line.slope / 1e6)} MB`,
			'assumes 10 s a request',
			'200,000 records',
		],
		[
			'observer of evidence',
			'memory',
			`${formatNumber(lines.find(line => line.quantity === 'heap of evidence')!.line.slope * daemons / 1e6)} MB`,
			'slope a host incarnation, 128 keys',
			'none stated',
		],
	];
}

/** Tables of the load of each role at the target size and at the current size. */
export function roleTables(samples: Samples, lines: readonly NamedLine[]): ReadonlyArray<readonly [string, Table]> {
	const head = ['Role', 'Quantity', 'Figure', 'How it follows', 'Budget'];
	return [target, today].map(size => [`roles-${size.name}`, [head, ...rows(samples, lines, size)]] as const);
}

/** Table of the bytes sent to all daemons when hosts leave and rejoin, and of the evidence that restarts add. */
export function repairTable(samples: Samples, lines: readonly NamedLine[]): Table {
	const {targetSnapshotBytes} = samples.memory;
	const evidence = lines.find(line => line.quantity === 'heap of evidence')!.line.slope;
	const cases: ReadonlyArray<readonly [string, number, number]> = [['lost rack: 20 engines, 10 daemons', 20, 10], ['lost zone: 115 engines, 62 daemons', 115, 62], ['320 restarts of daemons, one day', 0, 320]];
	return [
		['Case', 'Log entries (left and joined)', 'Entries sent to 370 daemons, MB (estimate)', 'Snapshots for returning daemons, MB', 'Evidence kept at the leader, MB'],
		...cases.map(([name, engines, daemons]) => [
			name,
			formatNumber(2 * (engines + daemons)),
			formatNumber(2 * (engines + daemons) * estimatedEntryBytes * 370 / 1e6),
			formatNumber(daemons * targetSnapshotBytes / 1e6),
			formatNumber(daemons * evidence / 1e6),
		]),
	];
}
