import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';

/** Connections that fill the accept queue of a listener with a backlog of 1. */
const queuedConnections = 3;
/** Time in milliseconds for the connections to reach the accept queue. */
const queueingMs = 100;

const listenerSource = `
	const {createServer} = require('node:net');
	const {parentPort} = require('node:worker_threads');
	const server = createServer();
	server.listen({host: '127.0.0.1', port: 0, backlog: 1}, () => {
		parentPort.postMessage(server.address().port);
		// Blocks the event loop, so that no connection is accepted.
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
	});
`;

/** A loopback address at which connections neither open nor fail, like that of a host without power. */
export class UnacceptingListener {
	/** Starts the listener and fills its accept queue. */
	static async open(): Promise<UnacceptingListener> {
		const worker = new Worker(listenerSource, {eval: true});
		const port = await new Promise<number>((resolve, reject) => {
			worker.once('message', resolve);
			worker.once('error', reject);
		});
		const sockets = Array.from({length: queuedConnections}, () => connect(port, '127.0.0.1').on('error', () => undefined));
		await new Promise<void>(resolve => {
			setTimeout(resolve, queueingMs);
		});
		return new UnacceptingListener(`127.0.0.1:${port}`, worker, sockets);
	}

	private constructor(readonly address: string, private readonly _worker: Worker, private readonly _sockets: readonly Socket[]) {}

	/** Stops the listener. */
	async close(): Promise<void> {
		for (const socket of this._sockets) {
			socket.destroy();
		}

		await this._worker.terminate();
	}
}
