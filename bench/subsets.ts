import process from 'node:process';
import {measureSubsets, type SubsetSize} from './subset-measure.js';

/**
Measures how evenly subsets cover the engines, how many subset slots change when one daemon or one engine is replaced, and the
time of one plan. Arguments: cover shares to compare (default: the one in use).
*/

const coverShares = process.argv.slice(2).map(Number);

function describe(size: SubsetSize, coverShare?: number): string {
	const result = measureSubsets(size, coverShare);
	return [
		`${size.daemons} daemons, ${size.servers} engines, ${size.versions} versions${coverShare === undefined ? '' : `, cover share ${coverShare}`}:`,
		`daemons per engine ${result.min} / ${result.mean.toFixed(1)} / ${result.max} (least, mean, most), deviation ${result.deviation.toFixed(2)};`,
		`new places after replacing a daemon ${result.newSlotsPerDaemon.toFixed(1)}, an engine ${result.newSlotsPerEngine.toFixed(1)};`,
		`plan ${result.planMs.toFixed(1)} ms`,
	].join(' ');
}

for (const size of [
	{
		daemons: 370, servers: 690, zones: 6, versions: 1,
	},
	{
		daemons: 370, servers: 690, zones: 6, versions: 16,
	},
	{
		daemons: 9, servers: 13, zones: 3, versions: 4,
	},
	{
		daemons: 9, servers: 100, zones: 3, versions: 4,
	},
]) {
	for (const coverShare of coverShares.length > 0 ? coverShares : [undefined]) {
		process.stdout.write(`${describe(size, coverShare)}\n`);
	}
}
