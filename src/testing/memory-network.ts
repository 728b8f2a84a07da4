import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {PeerCallError, PeerTimeoutError} from '../common/base/peer-errors.js';
import {type PeerCaller} from '../common/base/peer-caller.js';
import {type PeerMethod} from '../common/base/peer-method.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {type RandomSource} from '../common/base/random-source.js';

type CallRoute = {from: string; to: string; timeoutMs: number; clock: Clock};
type Handler = (params: unknown, from: string, caller: PeerCaller) => Promise<unknown>;
type Reply = {result?: string} | {error: PeerCallError};
type Message = Omit<Transfer, 'delayMs' | 'deliver'>;

/** One message on its way. */
export interface Transfer {
	readonly from: string;
	readonly to: string;
	/** Size of the JSON text in characters. */
	readonly size: number;
	readonly delayMs: number;
	/** Aborted when the caller has given up the call. */
	readonly signal: AbortSignal;
	readonly deliver: () => void;
}

/** Time that messages take by their size. Without one, they take only the delay of the link. */
export interface TransferModel {
	/** Calls `deliver` when the message has been received, or never if its call is given up before. */
	transfer(transfer: Transfer): void;
}

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

	constructor(private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _model?: TransferModel) {}

	/** Attaches a host. Attaching the same name again replaces the earlier host. `clock` measures the timeouts of its calls. */
	attach(host: string, clock = this._clock): PeerTransport & Disposable {
		const handlers = new Map<string, Handler>();
		this._handlers.set(host, handlers);
		let isAttached = true;
		return {
			self: host,
			// A process that has ended sends nothing more and gets no reply.
			call: async (peer, method, params, timeoutMs) => {
				const route = {
					from: host, to: peer, timeoutMs, clock,
				};
				return isAttached ? this._call(route, method, params) : never();
			},
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

	private async _call<Params, Result>({
		from, to, timeoutMs, clock,
	}: CallRoute, method: PeerMethod<Params, Result>, params: Params): Promise<Result> {
		return new Promise((resolve, reject) => {
			const end = new AbortController();
			const {signal} = end;
			const timeout = clock.setTimer(timeoutMs, () => {
				end.abort();
				reject(new PeerTimeoutError(`${method.name} at ${to}: no reply within ${timeoutMs} ms`));
			});
			// Messages are copied as JSON, so that hosts share no objects.
			const message = JSON.stringify(params ?? null);
			this._send({
				from, to, size: message.length, signal,
			}, async () => {
				const reply = await this._execute({from, to, signal}, method.name, message);
				this._send({
					from: to, to: from, size: sizeOf(reply), signal,
				}, () => {
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

	private async _execute({from, to, signal}: Pick<Message, 'from' | 'to' | 'signal'>, method: string, message: string): Promise<Reply> {
		const handler = this._handlers.get(to)?.get(method);
		if (!handler) {
			// A host that is down never replies; the call times out.
			return never();
		}

		try {
			const result = await handler(JSON.parse(message), from, {
				get isGone() {
					return signal.aborted;
				},
			});
			return {result: JSON.stringify(result)};
		} catch (error) {
			const {code = 'internal', message: text, data} = error as {code?: string; message: string; data?: unknown};
			return {error: new PeerCallError(text, code, data)};
		}
	}

	private _send(message: Message, deliver: () => unknown): void {
		if (this._random.next() < this.faults.lossRate) {
			return;
		}

		this._deliver(message, deliver);
		if (this._random.next() < this.faults.duplicateRate) {
			this._deliver(message, deliver);
		}
	}

	private _deliver(message: Message, deliver: () => unknown): void {
		const {from, to} = message;
		const {minDelayMs, maxDelayMs} = this.faults;
		const delayMs = from === to ? 0 : minDelayMs + (this._random.next() * (maxDelayMs - minDelayMs));
		const arrive = () => {
			// Cuts are checked on arrival, so that a partition also drops messages in flight.
			if (!this._cuts.has(`${from}>${to}`)) {
				deliver();
			}
		};

		if (this._model) {
			this._model.transfer({...message, delayMs, deliver: arrive});
		} else {
			this._clock.setTimer(delayMs, arrive);
		}
	}
}

function sizeOf(reply: Reply): number {
	if ('error' in reply) {
		const {message, peerCode, data} = reply.error;
		return JSON.stringify({message, peerCode, data}).length;
	}

	return reply.result?.length ?? 0;
}

async function never(): Promise<never> {
	return new Promise(() => {
		// Never settled.
	});
}
