import {type Socket} from 'node:net';
import {EventEmitter} from 'node:events';
import {expect, it} from 'vitest';
import {HeldBytes} from '../common/base/held-bytes.js';
import {ManualClock} from '../testing/manual-clock.js';
import {OpenHeads} from './open-heads.js';

const settleMs = 100;

function start(limit = Infinity) {
	const clock = new ManualClock();
	const held = new HeldBytes(limit);
	const closed: Socket[] = [];
	const heads = new OpenHeads(clock, socket => held.open(socket, 'caller', () => {
		closed.push(socket);
		socket.emit('close');
	}));
	const connect = () => Object.assign(new EventEmitter(), {bytesRead: 0}) as unknown as Socket & {bytesRead: number}; // eslint-disable-line unicorn/prefer-event-target -- stands in for a socket of Node.js
	return {
		clock, held, closed, heads, connect,
	};
}

// Guards against heads that hold memory which nothing counts, and against bodies and idle connections that count as heads.
it.each([
	{name: 'a head that is not complete', steps: ['read'], isCounted: true},
	{name: 'a head that is complete', steps: ['read', 'complete'], isCounted: false},
	{name: 'a body', steps: ['read', 'complete', 'read'], isCounted: false},
	{name: 'an idle connection', steps: ['read', 'complete', 'read', 'expect'], isCounted: false},
	{name: 'the head of a second request', steps: ['read', 'complete', 'expect', 'read'], isCounted: true},
	{name: 'a connection that has closed', steps: ['read', 'close'], isCounted: false},
])('counts $name: $isCounted', async ({steps, isCounted}) => {
	const {clock, held, heads, connect} = start();
	const socket = connect();
	heads.add(socket);
	const actions: Readonly<Record<string, () => void>> = {
		read() {
			socket.bytesRead += 1000;
		},
		complete() {
			heads.complete(socket);
		},
		expect() {
			heads.expect(socket);
		},
		close() {
			socket.emit('close');
		},
	};
	for (const step of steps) {
		actions[step]!();
		await clock.advance(settleMs); // eslint-disable-line no-await-in-loop -- one after the other
	}

	expect(held.total > 0).toBe(isCounted);
	heads.dispose();
});

// Guards against a caller with a small head that loses its connection because of others with large ones.
it('gives up the connection with the largest head', async () => {
	const {clock, closed, heads, connect} = start(100_000);
	const sockets = [1000, 60_000, 40_000].map(bytesRead => Object.assign(connect(), {bytesRead}));
	for (const socket of sockets) {
		heads.add(socket);
	}

	await clock.advance(settleMs);
	expect(closed.map(socket => sockets.indexOf(socket as typeof sockets[number]))).toEqual([1]);
	heads.dispose();
});
