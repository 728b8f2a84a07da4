import fc from 'fast-check';
import {expect, it} from 'vitest';
import {type EntryHost} from './entry-host.js';
import {EntryList} from './entry-list.js';

const maxLength = 64;
/** Deviation from the mean of the load relative to capacity that docs/design/uneven-load.md allows. */
const maxDeviation = 0.15;

type Fleet = {readonly name?: string; readonly zones: number; readonly capacities: readonly number[]; readonly zoneOf?: (index: number) => number};

const many = (count: number, capacity: number) => Array.from({length: count}, () => capacity);
const quarterLarger = (count: number, factor = 3.3) => Array.from({length: count}, (_, index) => index % 4 === 0 ? factor : 1);

function hostsOf({zones, capacities, zoneOf = index => index % zones}: Fleet): EntryHost[] {
	return capacities.map((capacity, index) => ({
		host: `entry-${index}`, incarnation: 1, address: `10.0.0.${index}:80`, peerAddress: `10.0.0.${index}:80`, zone: `z${zoneOf(index)}`, leaving: false, capacity,
	}));
}

function sumOf(hosts: readonly EntryHost[]): number {
	return hosts.reduce((sum, {capacity}) => sum + capacity!, 0);
}

function listOf(hosts: readonly EntryHost[]): EntryList {
	return new EntryList({entryHosts: new Map(hosts.map(entry => [entry.host, entry]))}, {isValid: () => true}, {maxLength});
}

/** Returns the greatest deviation of a host's load relative to its capacity from the mean. Each caller chooses one listed host at random. */
function deviation(fleet: Fleet, callerZone = (caller: number) => caller % fleet.zones): number {
	const hosts = hostsOf(fleet);
	const list = listOf(hosts);
	const total = sumOf(hosts);
	const smallest = Math.min(...fleet.capacities) / Math.max(...fleet.capacities, total / maxLength);
	// So many that the standard deviation of the measured load of the smallest host is 2 % of its load.
	const callers = Math.ceil(Math.max(500, 2500 * (1 - smallest) / smallest));
	const load = new Map(hosts.map(({host}) => [host, 0]));
	for (let caller = 0; caller < callers; caller++) {
		const {entries} = list.for('api.example', `z${callerZone(caller)}`, `10.${caller % 7}.${Math.floor(caller / 250)}.${caller % 250}`);
		for (const {host} of entries) {
			load.set(host, load.get(host)! + (1 / entries.length));
		}
	}

	return Math.max(...hosts.map(({host, capacity}) => Math.abs((load.get(host)! / callers * total / capacity!) - 1)));
}

// Guards against hosts that get more or fewer callers than their share of the capacity.
it.each<Fleet & {name: string}>([
	{name: '9 equal hosts', zones: 3, capacities: many(9, 1)},
	{name: '9 hosts, a quarter larger', zones: 2, capacities: quarterLarger(9)},
	{name: '12 hosts of three sizes', zones: 4, capacities: [...many(4, 1), ...many(4, 2), ...many(4, 0.5)]},
	{name: '64 hosts, a quarter larger', zones: 6, capacities: quarterLarger(64)},
	{name: '79 equal hosts', zones: 3, capacities: many(79, 0.324)},
	{name: '82 hosts of two sizes', zones: 4, capacities: [...many(63, 0.243), ...many(19, 0.81)]},
	{name: '191 equal hosts', zones: 3, capacities: many(191, 0.3)},
	{
		name: '191 equal hosts in unequal zones', zones: 3, capacities: many(191, 0.3), zoneOf: index => index < 100 ? 0 : (index < 160 ? 1 : 2),
	},
	{name: '370 hosts, a quarter larger', zones: 5, capacities: quarterLarger(370)},
])('gives each host its share of the callers: $name', fleet => {
	expect(deviation(fleet)).toBeLessThan(maxDeviation);
});

// Guards against hosts that are overloaded because most callers are in their zone.
it('gives each host its share of callers that are all in one zone', () => {
	expect(deviation({zones: 3, capacities: many(191, 0.3)}, () => 0)).toBeLessThan(maxDeviation);
});

const capacity = fc.integer({min: 3, max: 30}).map(tenths => tenths / 10);
const fleetOf = (minLength: number, maxLength: number): fc.Arbitrary<Fleet> => fc.record({
	zones: fc.integer({min: 2, max: 6}), capacities: fc.array(capacity, {minLength, maxLength, size: 'max'}), isUnequal: fc.boolean(),
}).map(({zones, capacities, isUnequal}) => ({
	zones, capacities, zoneOf: index => isUnequal ? Math.floor(((index / capacities.length) ** 2) * zones) : index % zones,
}));
const anyFleet: fc.Arbitrary<Fleet> = fc.record({
	zones: fc.integer({min: 2, max: 6}),
	capacities: fc.oneof(fc.array(capacity, {minLength: 9, maxLength: 370, size: 'max'}), fc.integer({min: 9, max: 370}).map(count => quarterLarger(count))),
});

// Guards as above for capacities and zones that nobody thought of.
it.each([
	{min: 9, max: 64, numRuns: 30},
	{min: 65, max: 370, numRuns: 4},
])('gives each host its share of the callers for any capacities of $min to $max hosts', ({min, max, numRuns}) => {
	fc.assert(fc.property(fleetOf(min, max), fleet => {
		// A list has three addresses and two zones, so it cannot give more than a third to a host, or less than one address to the zones beside the largest.
		const hosts = hostsOf(fleet);
		const total = sumOf(hosts);
		const largest = Math.max(...fleet.capacities);
		const largestZone = Math.max(...Array.from({length: fleet.zones}, (_, zone) => sumOf(hosts.filter(entry => entry.zone === `z${zone}`))));
		fc.pre(largest * 3 <= total && total - largestZone >= Math.max(largest, total / maxLength));
		expect(deviation(fleet)).toBeLessThan(maxDeviation);
	}), {seed: 1, numRuns});
});

// Guards against lists that are too long, of one zone only, or that begin with another zone.
it('lists at most 64 hosts, the caller\'s zone first and never only one zone', () => {
	fc.assert(fc.property(anyFleet, fc.string(), fc.nat(), (fleet, client, zone) => {
		const {entries} = listOf(hostsOf(fleet)).for('api.example', `z${zone % fleet.zones}`, client);
		const zones = entries.map(entry => entry.zone);
		const near = zones.filter(name => name === `z${zone % fleet.zones}`).length;
		expect(entries.length).toBeLessThanOrEqual(maxLength);
		expect(new Set(zones).size).toBeGreaterThan(1);
		expect(zones.slice(0, near).every(name => name === `z${zone % fleet.zones}`)).toBe(true);
	}), {seed: 1});
});

// Guards against callers that close many connections because one host has joined or left. "Few" is taken as 2 on average and 5 at most.
it('changes few addresses when a host joins or leaves', () => {
	const counts: number[] = [];
	fc.assert(fc.property(anyFleet, fc.string(), fc.nat(), (fleet, client, index) => {
		const hosts = hostsOf(fleet);
		const namesOf = (listed: readonly EntryHost[]) => listOf(listed).for('api.example', 'z0', client).entries.map(({host}) => host);
		const [before, after] = [namesOf(hosts), namesOf(hosts.toSpliced(index % hosts.length, 1))];
		counts.push(before.filter(host => !after.includes(host)).length, after.filter(host => !before.includes(host)).length);
	}), {seed: 1, numRuns: 300});
	expect(Math.max(...counts)).toBeLessThanOrEqual(5);
	expect(counts.reduce((sum, count) => sum + count, 0) / counts.length).toBeLessThanOrEqual(2);
});

// Guards against a host of another list than before the capacities were announced, or of a release that announces none.
it.each<{name: string; capacities: ReadonlyArray<number | undefined>}>([
	{name: 'equal capacities', capacities: many(64, 0.243)},
	{name: 'unknown capacities', capacities: Array.from({length: 64}, () => undefined)},
	{name: 'some unknown capacities', capacities: Array.from({length: 64}, (_, index) => index < 9 ? 0.3 : undefined)},
])('lists up to 64 hosts in the same order as without a maximum: $name', ({capacities}) => {
	const hosts = hostsOf({zones: 3, capacities: many(64, 1)}).map((entry, index) => ({...entry, capacity: capacities[index]}));
	const full = new EntryList({entryHosts: new Map(hosts.map(entry => [entry.host, entry]))}, {isValid: () => true});
	expect(listOf(hosts).for('api.example', 'z1', '10.0.0.1')).toEqual(full.for('api.example', 'z1'));
});
