import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {type Clock} from '../common/base/clock.js';

/** What a proxy does with its connections. */
export const linkState = {
	open: 'open',
	/** Bytes are held back for a time. */
	slow: 'slow',
	/** Nothing is passed on in either direction; connections stay. */
	silent: 'silent',
	/** Requests pass, answers do not. */
	oneWay: 'one-way',
	/** Connections are reset and new ones too. */
	reset: 'reset',
} as const;

/** A value of `linkState`. */
export type LinkState = typeof linkState[keyof typeof linkState];

/** Delay of a slow link in milliseconds. */
const slowMs = 120;

/** Forwards TCP connections from one loopback address to another and disturbs them. */
export class TcpProxy {
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();
	private _state: LinkState = linkState.open;

	constructor(private readonly _listen: {host: string; port: number}, private readonly _target: {host: string; port: number}, private readonly _clock: Clock) {
		this._server = createServer({allowHalfOpen: true}, socket => {
			this._accept(socket);
		});
	}

	async start(): Promise<void> {
		return new Promise((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(this._listen.port, this._listen.host, resolve);
		});
	}

	/** Changes the state of the link. Bytes that a silent link has held back are lost with their connections. */
	set(state: LinkState): void {
		const isHolding = this._state === linkState.silent || this._state === linkState.oneWay;
		this._state = state;
		if (state === linkState.reset || isHolding) {
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

	private _accept(near: Socket): void {
		this._sockets.add(near);
		if (this._state === linkState.reset) {
			near.resetAndDestroy();
			return;
		}

		const far = connect({...this._target, allowHalfOpen: true});
		this._sockets.add(far);
		this._join(near, far, true);
		this._join(far, near, false);
	}

	private _join(from: Socket, to: Socket, isRequest: boolean): void {
		from.setNoDelay(true);
		from.on('data', chunk => {
			this._pass(isRequest, () => to.write(chunk));
		});
		from.on('end', () => {
			this._pass(isRequest, () => to.end());
		});
		from.on('error', () => {
			// The other side has to see a reset as one.
			to.resetAndDestroy();
		});
		from.on('close', () => {
			this._sockets.delete(from);
		});
	}

	private _pass(isRequest: boolean, action: () => void): void {
		if (this._state === linkState.silent || (this._state === linkState.oneWay && !isRequest)) {
			return;
		}

		if (this._state === linkState.slow) {
			this._clock.setTimer(slowMs, action);
		} else {
			action();
		}
	}
}
