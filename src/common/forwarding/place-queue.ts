import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {
	ArrivalOrder, type PlaceOrder, type TryPlace, type WaitingForPlace,
} from './place-order.js';

/** Maximum number of requests of a service that wait; further requests are refused. */
const maxWaiting = 1000;
/** Number of requests that may stay blocked at the release of a place, so that a long queue costs little. */
const maxBlocked = 8;
/** Interval in milliseconds at which the waiting requests are tried without a release: pauses and ejections of servers end without an event. */
const retryIntervalMs = 100;

const anyRequest = {urgency: 0, customer: undefined};

/** Queues requests by service while all servers that may take them have all their connections in use. */
export class PlaceQueue implements Disposable {
	private readonly _waiting = new Map<string, PlaceOrder>();
	/** Services whose queue is being released; the value tells whether to go through it again. */
	private readonly _releasing = new Map<string, boolean>();
	private _timer: Disposable | undefined;

	/** `_createOrder` creates the order in which the requests of a service are tried; by default that of their arrival. */
	constructor(private readonly _clock: Clock, private readonly _createOrder: () => PlaceOrder = () => new ArrivalOrder()) {}

	/** Number of waiting requests. */
	get size(): number {
		let size = 0;
		for (const waiting of this._waiting.values()) {
			size += waiting.size;
		}

		return size;
	}

	/** Adds a request, which is tried whenever a place may be free. @returns its place in the queue; undefined when the queue is full. */
	add(service: string, tryPlace: TryPlace, from: Omit<WaitingForPlace, 'tryPlace'> = anyRequest): Disposable | undefined {
		let waiting = this._waiting.get(service);
		if (!waiting) {
			waiting = this._createOrder();
			this._waiting.set(service, waiting);
		}

		if (waiting.size >= maxWaiting) {
			return undefined;
		}

		const request = {...from, tryPlace};
		waiting.add(request);
		this._schedule();
		return {
			dispose: () => {
				this._remove(service, request);
			},
		};
	}

	/** Places requests of a service; called when a connection to one of its servers is free. `limit`: number of requests that may stay blocked. */
	release(service: string, limit = maxBlocked): void {
		if (this._releasing.has(service)) {
			this._releasing.set(service, true);
			return;
		}

		try {
			do {
				this._releasing.set(service, false);
				this._releaseOnce(service, limit);
			} while (this._releasing.get(service));
		} finally {
			this._releasing.delete(service);
		}
	}

	/** Places all requests that can be placed; called when the servers or the configuration have changed. */
	releaseAll(): void {
		for (const service of this._waiting.keys()) {
			this.release(service, Infinity);
		}
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _releaseOnce(service: string, limit: number): void {
		let blocked = 0;
		const waiting = this._waiting.get(service);
		for (const request of waiting ?? []) {
			if (request.tryPlace()) {
				waiting?.recordPlaced(request);
				this._remove(service, request);
			} else if (++blocked >= limit) {
				return;
			}
		}
	}

	private _remove(service: string, request: WaitingForPlace): void {
		const waiting = this._waiting.get(service);
		waiting?.delete(request);
		if (waiting?.size === 0) {
			this._waiting.delete(service);
		}
	}

	private _schedule(): void {
		this._timer ??= this._clock.setTimer(retryIntervalMs, () => {
			this._timer = undefined;
			this.releaseAll();
			if (this._waiting.size > 0) {
				this._schedule();
			}
		});
	}
}
