/**
Measures the time of one backend selection by number of backend servers, with 16 versions. Writes `selection-speed.md` and
`selection-speed.svg`. Argument: folder for the results (default `docs/measurements`).
*/
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {SeededRandom} from '../src/common/base/seeded-random.js';
import {type BackendServer} from '../src/common/control/backend-server.js';
import {type SelectionRequest} from '../src/common/routing/backend-selector.js';
import {LoadAwareSelector} from '../src/common/routing/load-aware-selector.js';
import {Simulation} from './model/simulation.js';
import {quantile} from './model/statistics.js';
import {svgPlot} from './model/svg-plot.js';
import {sharedShape, Traffic} from './model/traffic.js';

const sizes = [16, 48, 96, 192, 345, 690];
const versions = 16;
const warmUp = 1000;
const decisions = 5000;
const targetMicroseconds = 50;

type Timing = {readonly servers: number; readonly candidates: number; readonly median: number; readonly p99: number};

/** Measures selections among the servers; each list of candidates has the servers of one version. */
function timeDecisions(servers: number, versionsPerServer: number): Timing {
	const simulation = new Simulation();
	const random = new SeededRandom(3);
	const selector = new LoadAwareSelector(simulation, random.fork('selector'), {zone: 'a'});
	const all = Array.from({length: servers}, (_, index) => newServer(index));
	const lists = Array.from({length: versions}, (_, version) => all.filter((_item, index) => (index + version) % versions < versionsPerServer));
	const traffic = new Traffic(random.fork('traffic'), sharedShape);
	const samples: number[] = [];
	let sequence = 0;
	for (let count = 0; count < warmUp + decisions; count++) {
		const draw = traffic.next();
		const req: SelectionRequest = {...draw, maxTokens: draw.outputTokens, exclude: new Set()};
		const candidates = lists[count % versions]!;
		const before = process.hrtime.bigint();
		const server = selector.select(req, candidates);
		const elapsed = Number(process.hrtime.bigint() - before) / 1000;
		if (count >= warmUp) {
			samples.push(elapsed);
		}

		const work = selector.dispatch(req, server!);
		simulation.setTimer(100, () => {
			work.firstToken(100);
		});
		simulation.setTimer(3000, () => {
			work.finish({failed: false, outputTokens: draw.outputTokens});
		});
		// With 100 requests/s, each server reports its load and its cache once a second.
		for (const [index, {id}] of all.entries()) {
			if (index % 100 === count % 100) {
				selector.reportLoad(id, 1, {
					at: simulation.now(), running: random.integer(20), queued: 0, queuedTokens: random.integer(2000), prefillRate: 10_000, decodeRate: 1000,
				});
				selector.reportCache(id, 1, {sequence: ++sequence, stored: traffic.next().prefixHashes, evicted: []});
			}
		}

		simulation.run(simulation.now() + 10);
	}

	return {
		servers, candidates: lists[0]!.length, median: quantile(samples, 0.5), p99: quantile(samples, 0.99),
	};
}

function newServer(index: number): BackendServer {
	return {
		id: `engine-${index}`,
		incarnation: 1,
		address: `e${index}:1`,
		zone: ['a', 'b', 'c'][index % 3]!,
		kind: 'engine',
		offers: [],
		services: [],
		checksFencing: true,
		checksSender: true,
		capacity: 32,
	};
}

const folder = process.argv[2] ?? 'docs/measurements';
const oneVersion = sizes.map(size => timeDecisions(size, 1));
const allVersions = sizes.map(size => timeDecisions(size, versions));
const rows = [...oneVersion.map(timing => ['one', timing] as const), ...allVersions.map(timing => ['all 16', timing] as const)];
const table = [
	'| versions on a server | backend servers | candidates | median µs | p99 µs |',
	'|---|---|---|---|---|',
	...rows.map(([label, timing]) => `| ${label} | ${timing.servers} | ${timing.candidates} | ${timing.median.toFixed(1)} | ${timing.p99.toFixed(1)} |`),
].join('\n');
const svg = svgPlot({
	title: 'Time of one backend server selection, 16 versions',
	xLabel: 'backend servers',
	yLabel: 'microseconds',
	target: {name: 'target for the median, 50 µs', value: targetMicroseconds},
	series: [
		{name: 'one version each, median', points: oneVersion.map(({servers, median}) => [servers, median])},
		{name: 'all versions, median', points: allVersions.map(({servers, median}) => [servers, median])},
	],
});
mkdirSync(folder, {recursive: true});
writeFileSync(path.join(folder, 'selection-speed.svg'), svg);
const heading = '# Time of one backend server selection\n\nMeasured with `bench/selection-speed.ts`.';
writeFileSync(path.join(folder, 'selection-speed.md'), `${heading}\n\n${table}\n\n![Plot of the medians](selection-speed.svg)\n`);
console.log(table);
