import {expect, it} from 'vitest';
import {BusyClock} from '../testing/busy-clock.js';
import {ReadPacer, type ReadTurns} from './read-pacer.js';

const chunkMs = 0.004;
const arrivalMs = 10;
const durationMs = 4000;
/** Shortest time after which a server counts as silent. */
const maxGapMs = 1000;

/** A connection on which chunks arrive at a rate. */
class Stream {
	longestGapMs = 0;
	private readonly _startedAt: number;
	private readonly _turns: ReadTurns;
	private _taken = 0;
	private _takenAt: number;

	constructor(private readonly _clock: BusyClock, pacer: ReadPacer, address: string, private readonly _rate: number) {
		this._startedAt = _clock.now();
		this._takenAt = this._startedAt;
		this._turns = pacer.open(address, () => {
			this.read();
		});
	}

	read(): void {
		if (this._turns.isWaiting) {
			return;
		}

		const arrived = Math.floor(this._rate * (this._clock.now() - this._startedAt) / 1000);
		const chunks = Math.min(arrived - this._taken, this._turns.available);
		this._turns.take(chunks);
		this._taken += chunks;
		this._clock.work(chunks * chunkMs);
		if (chunks > 0) {
			this.longestGapMs = Math.max(this.longestGapMs, this._clock.now() - this._takenAt);
			this._takenAt = this._clock.now();
		}

		if (arrived > this._taken) {
			this._turns.wait();
		}
	}
}

// Guards against streams of a sound server that wait for their turn beside a faulty one until the server counts as silent.
it.each([
	[150, 200],
	[300, 150],
])('lets %d streams of %d chunks a second go on beside 200 connections without an end', (streams, rate) => {
	const clock = new BusyClock();
	const pacer = new ReadPacer(clock);
	const open = (count: number, address: string, chunkRate: number) => Array.from({length: count}, () => new Stream(clock, pacer, address, chunkRate));
	const faulty = open(200, 'a', 1_000_000);
	const sound = open(streams, 'b', rate);
	const arrive = () => {
		for (const stream of [...faulty, ...sound]) {
			stream.read();
		}

		clock.setTimer(arrivalMs, arrive);
	};

	arrive();
	while (clock.now() < durationMs) {
		clock.runTimer();
	}

	expect(Math.max(...sound.map(stream => stream.longestGapMs))).toBeLessThan(maxGapMs);
});
