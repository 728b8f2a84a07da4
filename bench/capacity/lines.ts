import {type ControlSample} from './control-samples.js';
import {fitLine, type Line} from './line-fit.js';
import {type Samples} from './samples.js';

/** Fitted line with its quantity and its variable. */
export interface NamedLine {
	readonly quantity: string;
	readonly unit: string;
	readonly variable: string;
	readonly line: Line;
	/** Value of the variable at the target size. */
	readonly targetX: number;
}

type Point = readonly [x: number, y: number];
type NamedPoints = Omit<NamedLine, 'line'> & {readonly points: readonly Point[]};

const variableValues: Readonly<Record<string, (sample: ControlSample) => number>> = {
	daemons: ({size}) => size.daemons,
	'engines a daemon': ({size}) => size.engines / size.daemons,
	customers: ({size}) => size.traffic.customers,
	'requests/s a daemon': ({size}) => size.traffic.requestsPerSecond,
	services: ({size}) => size.services,
};

function controlLines({control: {byVariation, target}}: Samples): NamedPoints[] {
	return [...byVariation].flatMap(([variable, samples]) => {
		const x = variableValues[variable]!;
		const quantities: ReadonlyArray<readonly [string, string, (sample: ControlSample) => number]> = [
			['renewal on the socket', 'bytes', ({wireBytes}) => wireBytes],
			['renewal at the leader', 'us', ({result}) => result.leaderUs],
			['renewal at the daemon', 'us', ({result}) => result.daemonUs],
		];
		return quantities.map(([quantity, unit, value]) => ({
			quantity, unit, variable, targetX: x(target), points: samples.map(sample => [x(sample), value(sample)] as const),
		}));
	});
}

function ledgerLines({ledger, ...samples}: Samples): NamedPoints[] {
	const lines: NamedPoints[] = [...ledger.wire].flatMap(([name, runs]) => [
		{
			quantity: `ledger bytes on the socket, ${name}`, unit: 'bytes/s', variable: 'requests/s a daemon', targetX: 8000 / 370, points: runs.map(run => [run.requestsPerSecond, run.bytesPerSecond] as const),
		},
		{
			quantity: `ledger calls, ${name}`, unit: 'calls/s', variable: 'requests/s a daemon', targetX: 8000 / 370, points: runs.map(run => [run.requestsPerSecond, run.callsPerSecond] as const),
		},
	]);
	lines.push({
		quantity: 'ledger batch at the leader behind HTTP', unit: 'us', variable: 'records a batch', targetX: 1, points: ledger.batches.map(([records, {batchUs}]) => [records, batchUs] as const),
	});
	for (const [name, runs] of ledger.memory) {
		lines.push({
			quantity: `heap of ledger, ${name}`, unit: 'bytes', variable: name, targetX: 80_000, points: runs.map(({count, bytes}) => [count, bytes] as const),
		});
	}

	lines.push({
		quantity: 'heap of evidence', unit: 'bytes', variable: 'incarnations', targetX: 370, points: samples.evidence.map(({incarnations, heapBytes}) => [incarnations, heapBytes] as const),
	}, {
		quantity: 'choice of a backend server', unit: 'us', variable: 'candidates', targetX: 690, points: samples.selection.map(({candidates, medianUs}) => [candidates, medianUs] as const),
	}, {
		quantity: 'plan of all subsets', unit: 'ms', variable: 'daemons', targetX: 370, points: samples.subsetPlans.map(([daemons, {planMs}]) => [daemons, planMs] as const),
	});
	return lines;
}

/** Fits lines to all samples of a run. */
export function allLines(samples: Samples): NamedLine[] {
	return [...controlLines(samples), ...ledgerLines(samples)].map(({points, ...rest}) => ({...rest, line: fitLine(points)}));
}
