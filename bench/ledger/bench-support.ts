import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type Clock} from '../../src/common/base/clock.js';
import {type Disposable} from '../../src/common/base/disposable.js';
import {Emitter} from '../../src/common/base/emitter.js';
import {type Event} from '../../src/common/base/event.js';
import {PeerCallError} from '../../src/common/base/peer-errors.js';
import {type PeerMethod} from '../../src/common/base/peer-method.js';
import {type PeerTransport} from '../../src/common/base/peer-transport.js';
import {type RandomSource} from '../../src/common/base/random-source.js';
import {type EntryDirectory, type EntryIncarnation} from '../../src/common/ledger/entry-directory.js';

/** Linear congruential generator; it needs no package. */
export class BenchRandom implements RandomSource {
	constructor(private _state: number) {}

	next(): number {
		this._state = ((this._state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return this._state / 4_294_967_296;
	}

	integer(limit: number): number {
		return Math.floor(this.next() * limit);
	}

	fork(label: string): RandomSource {
		return new BenchRandom(this._state + label.length);
	}
}

/** Directory that reports every entry host as live. */
export class LiveDirectory implements EntryDirectory {
	private readonly _onGone = new Emitter<EntryIncarnation>();

	get onRemoved(): Event<EntryIncarnation> {
		return this._onGone.event;
	}

	status(): 'live' {
		return 'live';
	}

	isCurrent(): boolean {
		return true;
	}
}

type Handler = (params: unknown, from: string) => Promise<unknown>;

/** In-process network that encodes each message as JSON and counts its bytes; delays use the given clock. */
export class CountingNetwork {
	calls = 0;
	bytes = 0;
	private readonly _handlers = new Map<string, Handler>();

	constructor(private readonly _clock: Clock, private readonly _delayMs: number) {}

	attach(self: string): PeerTransport {
		return {
			self,
			call: async (peer, method, params) => this._call(`${peer}/${method.name}`, method, params),
			handle: (method, handler): Disposable => {
				this._handlers.set(`${self}/${method.name}`, handler as Handler);
				return {dispose: () => this._handlers.delete(`${self}/${method.name}`)};
			},
		};
	}

	private async _call<Params, Result>(target: string, method: PeerMethod<Params, Result>, params: Params): Promise<Result> {
		this.calls++;
		const request = JSON.stringify({
			jsonrpc: '2.0', id: this.calls, method: method.name, params,
		});
		await this._delay();
		const handler = this._handlers.get(target);
		if (!handler) {
			throw new PeerCallError(`no handler for ${target}`, 'not-leader');
		}

		const {id, params: received} = JSON.parse(request) as {id: number; params: unknown};
		const reply = JSON.stringify({jsonrpc: '2.0', id, result: await handler(received, 'bench')});
		await this._delay();
		this.bytes += Buffer.byteLength(request) + Buffer.byteLength(reply);
		return (JSON.parse(reply) as {result: Result}).result;
	}

	private async _delay(): Promise<void> {
		if (this._delayMs > 0) {
			await new Promise<void>(resolve => {
				this._clock.setTimer(this._delayMs, resolve);
			});
		}
	}
}

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of heap in use after a full collection. */
export function heapUsed(): number {
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Returns the duration of the action in seconds. */
export async function measureSeconds(action: () => Promise<void> | void): Promise<number> {
	const start = performance.now();
	await action();
	return (performance.now() - start) / 1000;
}

/** Quantile of the values at a rank in [0, 1]; 0 without values. */
export function quantile(values: readonly number[], rank: number): number {
	return [...values].sort((a, b) => a - b)[Math.min(values.length - 1, Math.floor(values.length * rank))] ?? 0;
}
