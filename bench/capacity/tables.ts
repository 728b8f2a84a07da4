import {allLines, type NamedLine} from './lines.js';
import {valueAt} from './line-fit.js';
import {type Table} from './page-tables.js';
import {repairTable, roleTables} from './role-tables.js';
import {type Samples} from './samples.js';
import {formatNumber} from './format-number.js';

function lineTable(lines: readonly NamedLine[]): Table {
	return [
		['Quantity', 'Over', 'Slope', '± 95 %', 'Intercept', '± 95 %', 'Unit', 'Line at target'],
		...lines.map(({quantity, variable, unit, line, targetX}) => [
			quantity,
			variable,
			formatNumber(line.slope),
			formatNumber(line.slopeError),
			formatNumber(line.intercept),
			formatNumber(line.interceptError),
			unit,
			`${formatNumber(valueAt(line, targetX))} at ${formatNumber(targetX)}`,
		]),
	];
}

function sectionTable({control: {target, today, overheadBytes, http}}: Samples): Table {
	const names = Object.keys(target.result.sectionBytes);
	return [
		['Part of a renewal and its reply', 'Target size, bytes', 'Size of today, bytes'],
		...names.map(name => [name, formatNumber(target.result.sectionBytes[name]!), formatNumber(today.result.sectionBytes[name] ?? 0)]),
		['HTTP and JSON-RPC headers', formatNumber(overheadBytes), formatNumber(overheadBytes)],
		['all, on the socket', formatNumber(target.wireBytes), formatNumber(today.wireBytes)],
		['leader, us of a core for each renewal without HTTP', formatNumber(target.result.leaderUs), formatNumber(today.result.leaderUs)],
		['leader, % of a core for all renewals without HTTP', ...[target, today].map(({size, result}) => formatNumber((result.leaderUs * size.daemons / 10_000) + (result.sweepMs / 10)))],
		['daemon, us of a core for each renewal without HTTP', formatNumber(target.result.daemonUs), formatNumber(today.result.daemonUs)],
		['HTTP, us of a core for each renewal, client and server together', formatNumber(http.cpuUs), 'not measured'],
	];
}

function wireTable({ledger}: Samples): Table {
	return [
		['Setting', 'Requests/s a daemon', 'Calls/s', 'KB/s', 'Log bytes a request', 'Added to the end of an answer, ms (median / p99)'],
		...[...ledger.wire].flatMap(([name, runs]) => runs.map(run => [
			name,
			formatNumber(run.requestsPerSecond),
			formatNumber(run.callsPerSecond),
			formatNumber(run.bytesPerSecond / 1000),
			formatNumber(run.logBytesPerRequest),
			`${formatNumber(run.finishP50Ms)} / ${formatNumber(run.finishP99Ms)}`,
		])),
	];
}

function commitTable({commits}: Samples): Table {
	return [
		['Clients', 'Commits/s', 'Median, ms', 'p99, ms', 'Entries a sync', 'Mean sync, ms', 'Cores of three members together', 'us of a core for each commit'],
		...commits.map(run => [
			run.clients, run.commitsPerSecond, run.p50Ms, run.p99Ms, run.entriesPerSync, run.meanSyncMs, run.cpuShare, run.cpuShare * 1e6 / run.commitsPerSecond,
		].map(value => formatNumber(value))),
	];
}

function machineTable({machine}: Samples): Table {
	return [
		['Cores', 'Memory, GiB', 'Node', 'Load of the machine before and after', 'Time of the run, s'],
		[formatNumber(machine.cores), formatNumber(machine.memoryGib), machine.node, `${formatNumber(machine.load)} and ${formatNumber(machine.loadAfter)}`, formatNumber(machine.seconds)],
	];
}

/** All tables of the page by name. */
export function allTables(samples: Samples): ReadonlyMap<string, Table> {
	const lines = allLines(samples);
	return new Map<string, Table>([
		['machine', machineTable(samples)],
		['lines', lineTable(lines)],
		...roleTables(samples, lines),
		['repair', repairTable(samples, lines)],
		['sections', sectionTable(samples)],
		['ledger-wire', wireTable(samples)],
		['commits', commitTable(samples)],
	]);
}
