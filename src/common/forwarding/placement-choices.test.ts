import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {hashString} from '../base/hash-string.js';
import {SeededRandom} from '../base/seeded-random.js';
import {AffinityPlacement} from './placement.js';
import {ServerRecord} from './server-pool.js';

/** Returns the servers of 3,000 requests with and without shared parts, with requests in flight, overloads and failures. */
function playChoices(placement: AffinityPlacement, {seed, servers, zones, inFlight}: {seed: number; servers: number; zones: number; inFlight: number}): string[] {
	const random = new SeededRandom(seed);
	const records = Array.from({length: servers}, (_, index) => new ServerRecord(testBackend(`s${index}`, {zone: `z${index % zones}`, capacity: 4 + (index % 5)})));
	const running: ServerRecord[] = [];
	return Array.from({length: 3000}, (_, index) => {
		const now = index * 7;
		const hasPart = random.next() < 0.7;
		const record = placement.choose({
			service: 's', affinityKey: hasPart ? `p${random.integer(12)}` : undefined, subjectKey: random.next() < 0.8 ? `q${random.integer(500)}` : undefined, work: 100 + random.integer(9000), zone: `z${random.integer(zones + 1)}`,
		}, records, now)!;
		record.inFlight++;
		running.push(record);
		if (running.length > inFlight) {
			running.splice(random.integer(running.length), 1)[0]!.inFlight--;
		}

		if (random.next() < 0.01) {
			record.recordOverload(now);
		}

		if (random.next() < 0.01) {
			record.health.record(true, now, now);
		}

		return record.server.id;
	});
}

// Guards against other choices than those recorded before placement knew weights, while all weights are 1.
it.each([
	{
		seed: 1, servers: 4, zones: 4, inFlight: 9, first: 's3 s0 s1 s0 s3 s1 s1 s2 s2 s1', digest: 2_787_559_906,
	},
	{
		seed: 2, servers: 42, zones: 3, inFlight: 60, first: 's4 s8 s41 s36 s14 s28 s6 s27 s0 s15', digest: 2_897_123_326,
	},
	{
		seed: 3, servers: 98, zones: 4, inFlight: 6, first: 's48 s13 s29 s26 s16 s31 s51 s25 s27 s23', digest: 797_301_416,
	},
	{
		seed: 4, servers: 6, zones: 1, inFlight: 200, first: 's2 s5 s3 s1 s3 s4 s0 s4 s2 s2', digest: 231_225_806,
	},
])('chooses the recorded servers of $servers in $zones zones', ({first, digest, ...load}) => {
	const choices = playChoices(new AffinityPlacement(new SeededRandom(load.seed)), load);
	expect([choices.slice(0, 10).join(' '), hashString(choices.join(' '))]).toEqual([first, digest]);
});
