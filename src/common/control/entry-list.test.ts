import {expect, it} from 'vitest';
import {type EntryLeft} from './control-command.js';
import {DirectoryState} from './directory-state.js';
import {EntryList} from './entry-list.js';
import {type EntryHost} from './entry-host.js';

const zones = ['a', 'b', 'c'];
const hosts = Array.from({length: 9}, (_, index): [string, EntryHost] => [`e${index}`, {
	host: `e${index}`, incarnation: 1, address: `10.0.0.${index}:80`, peerAddress: `10.0.0.${index}:90`, zone: zones[index % 3]!, leaving: index === 8,
}]);
const entryList = (isValid = true) => new EntryList({entryHosts: new Map(hosts)}, {isValid: () => isValid});

// Guards against callers that are sent to a leaving host, or to another zone first.
it.each(zones)('lists the hosts of zone %s first and omits leaving hosts', zone => {
	const {entries, keepSeconds} = entryList().for('caller', zone);
	const count = zone === 'c' ? 2 : 3;
	expect(entries.slice(0, count).every(entry => entry.zone === zone)).toBe(true);
	expect(entries.map(({host}) => host).toSorted()).toEqual(['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7']);
	expect(keepSeconds).toBe(10);
});

// Guards against all callers of a zone choosing the same host, and against a caller that changes its host without need.
it('spreads callers within a zone and gives each caller a stable order', () => {
	const firsts = new Map<string, number>();
	for (let caller = 0; caller < 300; caller++) {
		const [first] = entryList().for(`10.1.0.${caller}`, 'a').entries;
		expect(entryList().for(`10.1.0.${caller}`, 'a').entries[0]).toEqual(first);
		firsts.set(first!.host, (firsts.get(first!.host) ?? 0) + 1);
	}

	expect([...firsts.keys()].toSorted()).toEqual(['e0', 'e3', 'e6']);
	expect(Math.min(...firsts.values())).toBeGreaterThan(70);
});

// Guards against callers that cache a stale list for long.
it('limits the cache time of a list to 1 s while there is no lease', () => {
	expect(entryList(false).for('caller', 'a').keepSeconds).toBe(1);
});

// Guards against callers that are sent to a host that was killed, and against a list that is drawn from an earlier directory.
it('omits a host once it has expired', () => {
	const directory = new DirectoryState();
	const list = new EntryList(directory, {isValid: () => true}, {maxLength: 64});
	const listed = () => list.for('caller', 'a', '10.1.0.1').entries.map(({host}) => host).toSorted();
	for (const [, entry] of hosts.slice(0, 4)) {
		directory.joinEntry(1, {type: 'entry-joined', entry: {...entry, capacity: 0.3}});
	}

	const leave = (type: EntryLeft['type'], host: string) => directory.leaveEntry(2, {
		type, host, incarnation: 1, at: 0,
	});
	expect(listed()).toEqual(['e0', 'e1', 'e2', 'e3']);
	leave('entry-expired', 'e1');
	expect(listed()).toEqual(['e0', 'e2', 'e3']);
	leave('entry-leaving', 'e2');
	expect(listed()).toEqual(['e0', 'e3']);
	for (const host of ['e0', 'e3']) {
		leave('entry-expired', host);
	}

	expect(listed()).toEqual([]);
});
