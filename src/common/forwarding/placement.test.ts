import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {AffinityPlacement, type PlacementRequest} from './placement.js';
import {ServerRecord} from './server-pool.js';

function servers(count: number): ServerRecord[] {
	return Array.from({length: count}, (_, index) => new ServerRecord({
		id: `s${index}`, incarnation: 1, address: `${index}`, zone: `z${index % 3}`, kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 4,
	}));
}

function request(affinityKey: string | undefined, zone: string): PlacementRequest {
	return {
		service: 's', affinityKey, subjectKey: undefined, work: 1, zone,
	};
}

// Guards against processing a prompt part again because hosts of a zone place requests with the same part on different servers.
it.each(['z0', 'z1', 'z2', 'zone-without-servers'])('places a part on the same server from all hosts of %s', zone => {
	for (let part = 0; part < 50; part++) {
		const chosen = [1, 2, 3].map(seed => new AffinityPlacement(new SeededRandom(seed)).choose(request(`p${part}`, zone), servers(6), 0)!.server.id);
		expect(new Set(chosen).size).toBe(1);
	}
});

// Guards against sending prompts to another zone while the host's own zone has capacity, and against overloading one zone while
// others are idle.
it.each([
	{hosts: ['z0', 'z1', 'z2'], minLocalShare: 0.9},
	{hosts: ['z0'], minLocalShare: 0.4},
])('keeps requests of $hosts in their zone while it has capacity', ({hosts, minLocalShare}) => {
	const placement = new AffinityPlacement(new SeededRandom(1));
	const all = servers(12);
	const running: ServerRecord[] = [];
	let local = 0;
	const count = 2000;
	for (let index = 0; index < count; index++) {
		const zone = hosts[index % hosts.length]!;
		const record = placement.choose(request(`p${(index * 7) % 400}`, zone), all, 0)!;
		local += record.server.zone === zone ? 1 : 0;
		record.inFlight++;
		running.push(record);
		if (running.length > 120) {
			running.shift()!.inFlight--;
		}
	}

	expect(local / count).toBeGreaterThanOrEqual(minLocalShare);
	expect(Math.max(...all.map(({inFlight}) => inFlight))).toBeLessThanOrEqual((120 / 12 * 1.5) + 1);
});

// Guards against a popular part that overloads one server while the others are idle.
it('bounds the load that one part puts on a server', () => {
	const placement = new AffinityPlacement(new SeededRandom(1));
	const all = servers(6);
	for (let index = 0; index < 120; index++) {
		placement.choose(request('popular', 'z0'), all, 0)!.inFlight++;
	}

	expect(Math.max(...all.map(({inFlight}) => inFlight))).toBeLessThanOrEqual((120 / 6 * 1.5) + 1);
	// The requests spread to several servers; those last in the hash order keep capacity for other parts.
	expect(all.filter(({inFlight}) => inFlight > 0).length).toBeGreaterThanOrEqual(4);
});

// Guards against sending requests to failing or overloaded servers, and against sending none when all servers are.
it.each([
	{ejected: [0], overloaded: [1], expected: ['s2']},
	{ejected: [0, 1, 2], overloaded: [], expected: ['s0', 's1', 's2']},
	{ejected: [0], overloaded: [1, 2], expected: ['s1', 's2']},
])('avoids ejected servers $ejected and overloaded servers $overloaded', ({ejected, overloaded, expected}) => {
	const placement = new AffinityPlacement(new SeededRandom(3));
	const all = servers(3);
	for (const index of ejected) {
		for (let failure = 0; failure < 3; failure++) {
			all[index]!.health.record(true, 0, 0);
		}
	}

	for (const index of overloaded) {
		all[index]!.overloadedUntil = 1000;
	}

	const chosen = new Set(Array.from({length: 60}, (_, index) => placement.choose(request(index % 2 === 0 ? `p${index}` : undefined, `z${index % 3}`), all, 10)!.server.id));
	expect([...chosen].sort()).toEqual(expected);
});
