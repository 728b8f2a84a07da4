import {expect, it} from 'vitest';
import {ManualClock} from '../testing/manual-clock.js';
import {ReadPacer, type ReadTurns} from './read-pacer.js';

const peers = 50;
const pendingChunks = 2000;

/** Connections that always have more chunks, as a socket with a full buffer has. */
class GreedyConnection {
	taken = 0;
	private readonly _turns: ReadTurns;

	constructor(pacer: ReadPacer) {
		this._turns = pacer.open(() => {
			this.read();
		});
	}

	read(): void {
		const chunks = Math.min(pendingChunks, this._turns.available);
		this._turns.take(chunks);
		this.taken += chunks;
		this._turns.wait('a');
	}
}

function openGreedy(pacer: ReadPacer): readonly GreedyConnection[] {
	const connections = Array.from({length: peers}, () => new GreedyConnection(pacer));
	for (const connection of connections) {
		connection.read();
	}

	return connections;
}

const totalOf = (connections: readonly GreedyConnection[]) => connections.reduce((sum, {taken}) => sum + taken, 0);

// Guards against servers that occupy a host with chunks of one byte, each of which takes some microseconds.
it('limits the chunks of all connections together, and lets each of them take its turn', async () => {
	const clock = new ManualClock();
	const connections = openGreedy(new ReadPacer(clock));
	const atOnce = totalOf(connections);
	expect(atOnce).toBeLessThan(6000);
	await clock.advance(1000);
	expect(totalOf(connections) - atOnce).toBeLessThan(50_000);
	expect(totalOf(connections) - atOnce).toBeGreaterThan(30_000);
	const counts = connections.map(({taken}) => taken);
	expect(Math.min(...counts)).toBeGreaterThan(Math.max(...counts) / 2);
});

// Guards against streams of sound servers that are held up by those that send small chunks at full speed.
it.each([{perSecond: 20, atOnce: 4}, {perSecond: 80, atOnce: 1}])('does not hold up a stream of $perSecond events a second beside busy connections', async ({perSecond, atOnce}) => {
	const clock = new ManualClock();
	const pacer = new ReadPacer(clock);
	openGreedy(pacer);
	const turns = pacer.open(() => undefined);
	for (let sent = 0; sent < perSecond * 5; sent += atOnce) {
		await clock.advance(1000 * atOnce / perSecond); // eslint-disable-line no-await-in-loop -- one event after the other
		expect(turns.available).toBeGreaterThanOrEqual(atOnce);
		turns.take(atOnce);
	}
});

it('reports a peer once for each connection, and resumes nothing after a connection has closed', async () => {
	const clock = new ManualClock();
	const pacer = new ReadPacer(clock);
	const slowed: string[] = [];
	pacer.onSlowed(address => {
		slowed.push(address);
	});
	let resumed = 0;
	const turns = pacer.open(() => {
		resumed++;
		turns.wait('b');
	});
	turns.wait('b');
	await clock.advance(50);
	expect(resumed).toBeGreaterThan(1);
	expect(slowed).toEqual(['b']);
	turns.dispose();
	resumed = 0;
	await clock.advance(50);
	expect(resumed).toBe(0);
});
