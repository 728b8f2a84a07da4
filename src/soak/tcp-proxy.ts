import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {type Clock} from '../common/base/clock.js';

/** States of a proxied link. */
export const linkState = {
	open: 'open',
	/** Data is delayed. */
	slow: 'slow',
	/** Data is dropped in both directions; connections stay open. */
	silent: 'silent',
	/** Requests are forwarded, answers are dropped. */
	oneWay: 'one-way',
	/** Existing and new connections are reset. */
	reset: 'reset',
} as const;

/** A value of `linkState`. */
export type LinkState = typeof linkState[keyof typeof linkState];

/** Delay of a slow link in milliseconds. */
const slowLinkDelayMs = 120;

/** TCP proxy between two loopback addresses that injects network faults. */
export class TcpProxy {
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();
	private _state: LinkState = linkState.open;
	/** Ports of the callers whose connections the target did not accept. */
	private readonly _refusedPorts = new Set<number>();

	constructor(private readonly _listen: {host: string; port: number}, private readonly _target: {host: string; port: number}, private readonly _clock: Clock) {
		this._server = createServer({allowHalfOpen: true}, socket => {
			this._accept(socket);
		});
	}

	/** Whether the target did not accept the connection from a port. */
	isRefused(port: number | undefined): boolean {
		return port !== undefined && this._refusedPorts.has(port);
	}

	async start(): Promise<void> {
		return new Promise((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(this._listen.port, this._listen.host, resolve);
		});
	}

	/** Changes the state of the link. All connections are reset on `reset`, and after a state that drops data, because data may be missing from them. */
	setState(state: LinkState): void {
		const hasDroppedBytes = this._state === linkState.silent || this._state === linkState.oneWay;
		this._state = state;
		if (state === linkState.reset || hasDroppedBytes) {
			for (const socket of this._sockets) {
				socket.resetAndDestroy();
			}
		}
	}

	close(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	private _accept(client: Socket): void {
		this._sockets.add(client);
		if (this._state === linkState.reset) {
			client.resetAndDestroy();
			return;
		}

		const upstream = connect({...this._target, allowHalfOpen: true});
		this._sockets.add(upstream);
		const port = client.remotePort;
		const onRefused = () => {
			this._refusedPorts.add(port ?? 0);
		};

		this._refusedPorts.delete(port ?? 0);
		upstream.once('error', onRefused);
		upstream.once('connect', () => {
			upstream.off('error', onRefused);
		});
		this._forward(client, upstream, true);
		this._forward(upstream, client, false);
	}

	private _forward(from: Socket, to: Socket, isRequest: boolean): void {
		from.setNoDelay(true);
		// Data that was delayed must not be overtaken when the link is fast again.
		const delayed: Array<() => void> = [];
		from.on('data', chunk => {
			this._deliver(isRequest, delayed, () => {
				// A slow reader must be felt on the other side.
				if (!to.write(chunk) && !to.destroyed) {
					from.pause();
					to.once('drain', () => from.resume());
				}
			});
		});
		from.on('end', () => {
			// Node.js reports a reset that comes with the last bytes as an end, but then there is no peer any more.
			if (!isRequest && from.remoteAddress === undefined) {
				to.resetAndDestroy();
				return;
			}

			this._deliver(isRequest, delayed, () => to.end());
		});
		from.on('error', () => {
			// A reset must reach the other side as a reset, not as a normal close.
			to.resetAndDestroy();
		});
		from.on('close', () => {
			this._sockets.delete(from);
		});
	}

	private _deliver(isRequest: boolean, delayed: Array<() => void>, action: () => void): void {
		if (this._state === linkState.silent || (this._state === linkState.oneWay && !isRequest)) {
			return;
		}

		if (this._state === linkState.slow || delayed.length > 0) {
			delayed.push(action);
			this._clock.setTimer(slowLinkDelayMs, () => {
				delayed.shift()?.();
			});
		} else {
			action();
		}
	}
}
