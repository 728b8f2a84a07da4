import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {PeerCallError, PeerTimeoutError} from '../common/base/peer-errors.js';
import {type PeerMethod} from '../common/base/peer-method.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {type RandomSource} from '../common/base/random-source.js';

type CallRoute = {from: string; to: string; timeoutMs: number};
type Handler = (params: unknown, from: string) => Promise<unknown>;

/** Behaviour of all links of a network. Delays in milliseconds, rates in [0, 1]. */
export interface LinkFaults {
	minDelayMs: number;
	maxDelayMs: number;
	lossRate: number;
	duplicateRate: number;
}

/** In-process network between daemons, with delays, loss, duplicates, reordering and one-way cuts. */
export class MemoryNetwork {
	readonly faults: LinkFaults = {
		minDelayMs: 1, maxDelayMs: 1, lossRate: 0, duplicateRate: 0,
	};

	private readonly _handlers = new Map<string, Map<string, Handler>>();
	private readonly _cuts = new Set<string>();

	constructor(private readonly _clock: Clock, private readonly _random: RandomSource) {}

	/** Attaches a host. Attaching the same name again replaces the earlier host. */
	attach(host: string): PeerTransport & Disposable {
		const handlers = new Map<string, Handler>();
		this._handlers.set(host, handlers);
		let isAttached = true;
		return {
			self: host,
			// A process that has ended sends nothing more and gets no reply.
			call: async (peer, method, params, timeoutMs) => isAttached ? this._call({from: host, to: peer, timeoutMs}, method, params) : never(),
			handle(method, handler) {
				handlers.set(method.name, handler as Handler);
				return {dispose: () => handlers.delete(method.name)};
			},
			dispose: () => {
				isAttached = false;
				if (this._handlers.get(host) === handlers) {
					this._handlers.delete(host);
				}

				handlers.clear();
			},
		};
	}

	/** Silently drops all messages from one host to another; the opposite direction still works. */
	cut(from: string, to: string): void {
		this._cuts.add(`${from}>${to}`);
	}

	/** Cuts the links between two sets of hosts in both directions. */
	partition(left: readonly string[], right: readonly string[]): void {
		for (const a of left) {
			for (const b of right) {
				this.cut(a, b);
				this.cut(b, a);
			}
		}
	}

	/** Removes all cuts. */
	heal(): void {
		this._cuts.clear();
	}

	private async _call<Params, Result>({from, to, timeoutMs}: CallRoute, method: PeerMethod<Params, Result>, params: Params): Promise<Result> {
		return new Promise((resolve, reject) => {
			const timeout = this._clock.setTimer(timeoutMs, () => {
				reject(new PeerTimeoutError(`${method.name} at ${to}: no reply within ${timeoutMs} ms`));
			});
			// Messages are copied as JSON, so that hosts share no objects.
			const message = JSON.stringify(params ?? null);
			this._send(from, to, async () => {
				const reply = await this._execute(from, to, method.name, message);
				this._send(to, from, () => {
					timeout.dispose();
					if ('error' in reply) {
						reject(reply.error);
					} else {
						resolve((reply.result === undefined ? undefined : JSON.parse(reply.result)) as Result);
					}
				});
			});
		});
	}

	private async _execute(from: string, to: string, method: string, message: string): Promise<{result?: string} | {error: Error}> {
		const handler = this._handlers.get(to)?.get(method);
		if (!handler) {
			// A host that is down never replies; the call times out.
			return never();
		}

		try {
			const result = await handler(JSON.parse(message), from);
			return {result: JSON.stringify(result)};
		} catch (error) {
			const {code = 'internal', message: text, data} = error as {code?: string; message: string; data?: unknown};
			return {error: new PeerCallError(text, code, data)};
		}
	}

	private _send(from: string, to: string, deliver: () => unknown): void {
		if (this._random.next() < this.faults.lossRate) {
			return;
		}

		this._deliver(from, to, deliver);
		if (this._random.next() < this.faults.duplicateRate) {
			this._deliver(from, to, deliver);
		}
	}

	private _deliver(from: string, to: string, deliver: () => unknown): void {
		const {minDelayMs, maxDelayMs} = this.faults;
		const delay = from === to ? 0 : minDelayMs + (this._random.next() * (maxDelayMs - minDelayMs));
		this._clock.setTimer(delay, () => {
			// Cuts are checked on arrival, so that a partition also drops messages in flight.
			if (!this._cuts.has(`${from}>${to}`)) {
				deliver();
			}
		});
	}
}

async function never(): Promise<never> {
	return new Promise(() => {
		// Never settled.
	});
}
