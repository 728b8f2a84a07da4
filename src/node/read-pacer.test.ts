import {expect, it} from 'vitest';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {ReadPacer, type ReadTurns} from './read-pacer.js';

const maxHeldMs = 50;
/** Half of the shortest time after which a server counts as silent. */
const maxSoundMs = 500;

/** Clock of a processor that is busy with chunks; timers run on request. */
class BusyClock implements Clock {
	private _now = 0;
	private readonly _timers: Array<{readonly due: number; readonly callback: () => void}> = [];

	now(): number {
		return this._now;
	}

	wallTime(): number {
		return this._now;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = {due: this._now + Math.max(1, delayMs), callback};
		this._timers.push(timer);
		return {
			dispose: () => {
				const index = this._timers.indexOf(timer);
				if (index !== -1) {
					this._timers.splice(index, 1);
				}
			},
		};
	}

	work(ms: number): void {
		this._now += ms;
	}

	/** Runs the next timer. @returns how long it held the processor, in milliseconds. */
	runTimer(): number {
		this._timers.sort((a, b) => a.due - b.due);
		const {due, callback} = this._timers.shift()!;
		this._now = Math.max(this._now, due);
		const startedAt = this._now;
		callback();
		return this._now - startedAt;
	}
}

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
