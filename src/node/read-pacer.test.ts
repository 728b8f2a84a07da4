import {expect, it} from 'vitest';
import {ManualClock} from '../testing/manual-clock.js';
import {ReadPacer, type ReadRates, type ReadTurns} from './read-pacer.js';

const rates: ReadRates = {
	ownRate: 100, ownBurst: 50, sharedRate: 10_000, sharedBurst: 200, turn: 100,
};

/** A connection that takes as many units as it may whenever it is resumed, until its end. */
class Connection {
	taken = 0;
	private readonly _turns: ReadTurns;

	constructor(pacer: ReadPacer, private _left: number) {
		this._turns = pacer.open(() => {
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
			this._turns.wait('a');
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
