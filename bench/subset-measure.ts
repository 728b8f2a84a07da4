import {SubsetChooser, type SubsetDaemon, type SubsetServer} from '../src/common/control/subset-chooser.js';

type Subsets = ReadonlyMap<string, ReadonlySet<string>>;
/** Size of a system whose subsets are measured. */
export type SubsetSize = {daemons: number; servers: number; zones: number; versions: number};
/** Number of daemons per engine, mean number of new subset slots when one daemon or one engine is replaced, and time of one plan. */
export type SubsetResult = {min: number; mean: number; max: number; deviation: number; newSlotsPerDaemon: number; newSlotsPerEngine: number; planMs: number};

const replacements = 20;

function createDaemons({daemons, zones}: SubsetSize): SubsetDaemon[] {
	return Array.from({length: daemons}, (_, index) => ({host: `entry-${index}`, zone: `zone-${index % zones}`}));
}

function createServers({servers, zones, versions}: SubsetSize): SubsetServer[] {
	return Array.from({length: servers}, (_, index) => ({
		id: `engine-${index}`, zone: `zone-${index % zones}`, versions: [`m@${Math.floor(index / zones) % versions}`],
	}));
}

function countNewSlots(before: Subsets, after: Subsets): number {
	let newSlots = 0;
	for (const [host, subset] of after) {
		newSlots += [...subset].filter(id => !before.get(host)?.has(id)).length;
	}

	return newSlots;
}

/** Measures the subsets of a system; `coverShare` overrides the default. */
export function measureSubsets(size: SubsetSize, coverShare?: number): SubsetResult {
	const [daemons, servers] = [createDaemons(size), createServers(size)];
	const choose = (hosts: readonly SubsetDaemon[], backends: readonly SubsetServer[]) => new SubsetChooser(hosts, backends, coverShare).choose();
	const before = choose(daemons, servers);
	const counts = new Map(servers.map(({id}) => [id, 0]));
	for (const id of [...before.values()].flatMap(subset => [...subset])) {
		counts.set(id, counts.get(id)! + 1);
	}

	const coverage = [...counts.values()];
	const mean = coverage.reduce((sum, count) => sum + count, 0) / coverage.length;
	const deviation = Math.sqrt(coverage.reduce((sum, count) => sum + ((count - mean) ** 2), 0) / coverage.length);
	const start = performance.now();
	const newSlots = {daemon: 0, engine: 0};
	for (let run = 0; run < replacements; run++) {
		const daemonIndex = Math.floor(run * size.daemons / replacements);
		newSlots.daemon += countNewSlots(before, choose(daemons.with(daemonIndex, {...daemons[daemonIndex]!, host: `new-${run}`}), servers));
		const serverIndex = Math.floor(run * size.servers / replacements);
		newSlots.engine += countNewSlots(before, choose(daemons, servers.with(serverIndex, {...servers[serverIndex]!, id: `new-${run}`})));
	}

	const planMs = (performance.now() - start) / (2 * replacements);
	return {
		min: Math.min(...coverage), mean, max: Math.max(...coverage), deviation, newSlotsPerDaemon: newSlots.daemon / replacements, newSlotsPerEngine: newSlots.engine / replacements, planMs,
	};
}
