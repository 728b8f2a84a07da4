import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {type Clock} from '../common/base/clock.js';
import {guardReads} from './guarded-reads.js';
import {ReadPacer} from './read-pacer.js';

const head = 'HTTP/1.1 200 OK\r\n\r\n';
const connections = 20;
const answerBytes = 64 * 1024;
/** Time to handle a kilobyte. */
const handlingMs = 0.08;
const maxTurnMs = 50;
const maxTurns = 10_000;

let now = 0;
const clock: Clock = {now: () => now, wallTime: () => now, setTimer: () => ({dispose() {/* Nothing waits in these tests. */}})};
const pacer = new ReadPacer(clock);

/** Takes the time to handle the bytes. */
function handle({length}: Uint8Array): void {
	now += length / 1024 * handlingMs;
}

afterEach(() => {
	pacer.dispose();
});

/** A connection whose bytes have arrived, and that reads them as the HTTP client does. */
function connection(text: string, onRead: (bytes: Uint8Array) => void): Duplex {
	const socket = new Duplex({
		read() {/* All bytes have arrived. */}, write(_chunk, _encoding, callback) {
			callback();
		},
	});
	guardReads(socket as unknown as Socket, pacer, 'a');
	socket.on('readable', () => {
		for (let bytes = socket.read() as Uint8Array | null; bytes !== null; bytes = socket.read() as Uint8Array | null) { // eslint-disable-line @typescript-eslint/no-restricted-types -- as Node.js declares it
			onRead(bytes);
		}
	});
	socket.push(text);
	return socket;
}

// Guards against valid answers that arrive on many connections at once and together hold the event loop, for example small events at full speed.
it('handles large answers of many connections in several turns of the event loop', async () => {
	const text = head.padEnd(answerBytes, 'x');
	const received = Array.from({length: connections}, () => '');
	for (const index of received.keys()) {
		connection(text, bytes => {
			received[index] += String(bytes);
			handle(bytes);
		});
	}

	let longestMs = 0;
	for (let turn = 0; turn < maxTurns && received.some(({length}) => length < answerBytes); turn++) {
		const before = now;
		await nextTurn(); // eslint-disable-line no-await-in-loop -- one turn after the other
		longestMs = Math.max(longestMs, now - before);
	}

	expect(received.every(answer => answer === text)).toBe(true);
	expect(longestMs).toBeLessThan(maxTurnMs);
});

// Guards against a short answer that waits for the long answers of other servers.
it('reads a short answer in the turn in which it arrives', async () => {
	let shortTurn: number | undefined;
	let turn = 0;
	for (let index = 0; index < connections; index++) {
		connection(head.padEnd(answerBytes, 'x'), handle);
	}

	await nextTurn();
	connection(`${head}ok`, () => {
		shortTurn ??= turn;
	});
	for (; turn < 2; turn++) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- as above
	}

	expect(shortTurn).toBe(0);
});
