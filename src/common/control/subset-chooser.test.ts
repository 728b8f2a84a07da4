import {expect, it} from 'vitest';
import {
	maxSubsetSize, SubsetChooser, type SubsetDaemon, type SubsetServer,
} from './subset-chooser.js';

const daemonsIn = (count: number, zones: number): SubsetDaemon[] => Array.from({length: count}, (_, index) => ({host: `d${index}`, zone: `z${index % zones}`}));
const serversIn = (count: number, zones: number, versions = 1): SubsetServer[] => Array.from({length: count}, (_, index) => ({
	id: `b${index}`, zone: `z${index % zones}`, versions: [`m@${Math.floor(index / zones) % versions}`],
}));

/** Many engines in a separate zone. */
const enginesInZone9 = serversIn(200, 1).map(server => ({...server, id: `x${server.id}`, zone: 'z9'}));

function coverage(subsets: ReadonlyMap<string, ReadonlySet<string>>, servers: readonly SubsetServer[]): number[] {
	return servers.map(({id}) => [...subsets.values()].filter(subset => subset.has(id)).length);
}

// Guards against backend servers that no daemon uses, and against subsets whose loads exceed the byte budget.
it.each<[string, SubsetDaemon[], SubsetServer[], number]>([
	['370 daemons and 690 engines', daemonsIn(370, 6), serversIn(690, 6), 6],
	['370 daemons and 690 engines of 16 versions', daemonsIn(370, 6), serversIn(690, 6, 16), 5],
	['9 daemons and 13 engines', daemonsIn(9, 3), serversIn(13, 3, 4), 9],
	['9 daemons and 100 engines', daemonsIn(9, 3), serversIn(100, 3), 1],
	['all daemons in a zone without engines', daemonsIn(20, 1), serversIn(60, 3).filter(({zone}) => zone !== 'z0'), 5],
	['few daemons in the zone of most engines', [...daemonsIn(30, 3), {host: 'x', zone: 'z9'}], [...serversIn(30, 3), ...enginesInZone9], 1],
])('covers every backend server: %s', (_, daemons, servers, leastCoverage) => {
	const subsets = new SubsetChooser(daemons, servers).choose();
	const sizes = [...subsets.values()].map(subset => subset.size);
	expect([Math.min(...sizes), Math.max(...sizes)]).toEqual([Math.min(maxSubsetSize, servers.length), Math.min(maxSubsetSize, servers.length)]);
	expect(Math.min(...coverage(subsets, servers))).toBeGreaterThanOrEqual(leastCoverage);
});

// Guards against a daemon that cannot use a version, or that has no backend servers in other zones.
it('gives each daemon every version, mostly from its own zone', () => {
	const servers = serversIn(690, 6, 8);
	const daemons = daemonsIn(370, 6);
	const subsets = new SubsetChooser(daemons, servers).choose();
	for (const {host, zone} of daemons) {
		const chosen = servers.filter(({id}) => subsets.get(host)!.has(id));
		expect(new Set(chosen.flatMap(({versions}) => versions)).size).toBe(8);
		const local = chosen.filter(server => server.zone === zone).length;
		expect(local).toBeGreaterThanOrEqual(12);
		expect(local).toBeLessThan(maxSubsetSize);
	}
});

// Guards against one replaced host that changes the subsets of all others.
it.each(['daemon', 'engine'])('changes few subset members when one %s is replaced', kind => {
	const [daemons, servers] = [daemonsIn(370, 6), serversIn(690, 6)];
	const before = new SubsetChooser(daemons, servers).choose();
	const after = new SubsetChooser(
		daemons.map(daemon => kind === 'daemon' && daemon.host === 'd100' ? {...daemon, host: 'new'} : daemon),
		servers.map(server => kind === 'engine' && server.id === 'b100' ? {...server, id: 'new'} : server),
	).choose();
	let changed = 0;
	for (const [host, subset] of after) {
		changed += [...subset].filter(id => !before.get(host)?.has(id)).length;
	}

	// The 24 members of the new daemon's subset, or one member for each daemon that used the engine, change in any case.
	expect(changed).toBeLessThan(100);
});
