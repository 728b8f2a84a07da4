import {expect, it} from 'vitest';
import {BusyClock} from '../testing/busy-clock.js';
import {ManualClock} from '../testing/manual-clock.js';
import {ReadPacer, type ReadRates, type ReadTurns} from './read-pacer.js';

const maxHeldMs = 50;
/** Half of the shortest time after which a server counts as silent. */
const maxSoundMs = 500;

/** Opens connections that always have more chunks, each of which takes `chunkMs` to process. */
function openEndless(pacer: ReadPacer, clock: BusyClock, connections: number, chunkMs: number): {readonly taken: number[]} {
	const taken: number[] = [];
	for (let i = 0; i < connections; i++) {
		taken.push(0);
		const read = () => {
			const chunks = turns.available;
			turns.take(chunks);
			taken[i]! += chunks;
			clock.work(chunks * chunkMs);
			turns.wait();
		};

		const turns: ReadTurns = pacer.open('a', read);
		read();
	}

	return {taken};
}

// Guards against an event loop that is held because the bucket fills up again while its chunks are processed.
it.each([0.004, 0.02, 0.03])('bounds a turn when each chunk takes %d ms', chunkMs => {
	const clock = new BusyClock();
	const pacer = new ReadPacer(clock);
	const {taken} = openEndless(pacer, clock, 20, chunkMs);
	const endAt = clock.now() + 2000;
	let maxMs = 0;
	while (clock.now() < endAt) {
		maxMs = Math.max(maxMs, clock.runTimer());
	}

	expect(maxMs).toBeLessThan(maxHeldMs);
	// All connections get on.
	expect(Math.min(...taken)).toBeGreaterThan(Math.max(...taken) / 2);
});

// Guards against a sound server whose answers wait behind all connections of a server that sends chunks without end.
it('lets the answer of another server pass many connections of one', () => {
	const clock = new BusyClock();
	const pacer = new ReadPacer(clock);
	openEndless(pacer, clock, 300, 0.004);
	let left = 2000;
	const read = () => {
		const chunks = Math.min(left, turns.available);
		turns.take(chunks);
		left -= chunks;
		if (left > 0) {
			turns.wait();
		}
	};

	const turns: ReadTurns = pacer.open('b', read);
	const endAt = clock.now() + maxSoundMs;
	read();
	while (clock.now() < endAt) {
		clock.runTimer();
	}

	expect(left).toBe(0);
});

// Guards against a connection that closes while it waits and is kept, or keeps the others of its address from their turns.
it('forgets a connection that closes while it waits', () => {
	const clock = new BusyClock();
	const pacer = new ReadPacer(clock);
	openEndless(pacer, clock, 1, 0.004);
	let resumed = 0;
	const open = (address: string) => {
		const turns = pacer.open(address, () => {
			resumed++;
		});
		turns.wait();
		return turns;
	};

	for (const turns of [open('a'), open('b'), open('b')]) {
		turns.dispose();
	}

	open('b');
	for (let i = 0; i < 20; i++) {
		clock.runTimer();
	}

	expect(resumed).toBe(1);
});

// Guards against streams of sound servers that are held up by those that send small chunks at full speed.
it.each([{perSecond: 20, atOnce: 4}, {perSecond: 80, atOnce: 1}])('does not hold up a stream of $perSecond events a second beside busy connections', ({perSecond, atOnce}) => {
	const clock = new BusyClock();
	const pacer = new ReadPacer(clock);
	openEndless(pacer, clock, 50, 0.004);
	const turns = pacer.open('b', () => undefined);
	for (let sent = 0; sent < perSecond * 5; sent += atOnce) {
		for (const dueAt = clock.now() + (1000 * atOnce / perSecond); clock.now() < dueAt;) {
			clock.runTimer();
		}

		expect(turns.available).toBeGreaterThanOrEqual(atOnce);
		turns.take(atOnce);
	}
});

// Guards against an event loop that is held by turns in which no connection has chunks, and against a line for each turn.
it('leaves the event loop to others between two turns, and reports a connection once', () => {
	const clock = new BusyClock();
	const pacer = new ReadPacer(clock);
	let slowed = 0;
	pacer.onSlowed(() => {
		slowed++;
	});
	let resumed = 0;
	const turns: ReadTurns = pacer.open('a', () => {
		resumed++;
		turns.wait();
	});
	turns.wait();
	clock.runTimer();
	clock.runTimer();
	expect({resumed, slowed}).toEqual({resumed: 2, slowed: 1});
});

const rates: ReadRates = {
	ownRate: 100, ownBurst: 50, sharedRate: 10_000, sharedBurst: 200, turn: 100,
};

/** A connection that takes as many units as it may whenever it is resumed, until its end. */
class Connection {
	taken = 0;
	private readonly _turns: ReadTurns;

	constructor(pacer: ReadPacer, private _left: number) {
		this._turns = pacer.open('a', () => {
			this.read();
		});
		this.read();
	}

	read(): void {
		const units = Math.min(this._left, this._turns.available);
		this._turns.take(units);
		this.taken += units;
		this._left -= units;
		if (this._left > 0) {
			this._turns.wait();
		}
	}

	close(): void {
		this._left = 0;
		this._turns.dispose();
	}
}

function start(count: number, units: number) {
	const clock = new ManualClock();
	const pacer = new ReadPacer(clock, rates);
	let slowed = 0;
	pacer.onSlowed(() => {
		slowed++;
	});
	const connections = Array.from({length: count}, () => new Connection(pacer, units));
	return {
		clock, pacer, connections, slowed: () => slowed,
	};
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

// Guards against a connection that takes more than its share at once, and against one of few units that is slowed down.
it.each([{units: 50, isSlowed: false}, {units: 150, isSlowed: false}, {units: 10_000, isSlowed: true}])('slows down a connection of $units units: $isSlowed', ({units, isSlowed}) => {
	const {connections, slowed} = start(1, units);
	expect(connections[0]!.taken).toBe(Math.min(units, rates.ownBurst + rates.turn));
	expect(slowed()).toBe(isSlowed ? 1 : 0);
});

// Guards against connections that exceed the rate of all of them together, and against one that is never resumed.
it('resumes connections in order at the shared rate until they have ended', async () => {
	const {clock, connections, slowed} = start(5, 2000);
	let before = connections.map(({taken}) => taken);
	for (let step = 0; step < 1000; step++) {
		await clock.advance(1); // eslint-disable-line no-await-in-loop -- each step depends on the one before
		const after = connections.map(({taken}) => taken);
		expect(sum(after) - sum(before)).toBeLessThanOrEqual(rates.sharedBurst + (rates.ownBurst * connections.length));
		expect(Math.max(...after) - Math.min(...after)).toBeLessThanOrEqual(2 * (rates.turn + rates.ownBurst));
		before = after;
	}

	expect(before).toEqual([2000, 2000, 2000, 2000, 2000]);
	expect(slowed()).toBe(5);
});

// Guards against a host that is occupied by small pieces for more than their rate allows.
it('grants no more than the rates in a second', async () => {
	const {clock, connections} = start(3, 1_000_000);
	const before = sum(connections.map(({taken}) => taken));
	for (let step = 0; step < 1000; step++) {
		await clock.advance(1); // eslint-disable-line no-await-in-loop -- each step depends on the one before
	}

	const taken = sum(connections.map(connection => connection.taken)) - before;
	expect(taken).toBeLessThanOrEqual(rates.sharedRate + rates.sharedBurst + (3 * (rates.ownRate + rates.ownBurst)));
	expect(taken).toBeGreaterThan(0.9 * rates.sharedRate);
});

// Guards against a turn that is spent on a connection that has closed.
it('passes the turn of a closed connection on', async () => {
	const {clock, connections: [first, second]} = start(2, 10_000);
	first!.close();
	const {taken} = first!;
	const other = second!.taken;
	await clock.advance(20);
	expect(first!.taken).toBe(taken);
	expect(second!.taken).toBeGreaterThan(other);
});
