import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type CallerSink} from './caller-sink.js';
import {type ForwardRequest} from './forward-request.js';

/** Share of a caller's deadline that it may wait in this host; the rest is enough to ask another host. */
const maxWaitShare = 1 / 3;
/** Maximum number of waiting requests; further requests are refused at once. */
const maxWaiting = 256;

/** A request with its arrival time. */
export interface WaitingRequest {
	readonly req: ForwardRequest;
	readonly sink: CallerSink;
	/** Arrival time on the host's monotonic clock in milliseconds. */
	readonly arrivedAt: number;
	/** Whether the request was admitted before, under another configuration. */
	readonly isReadmitted?: boolean;
}

/** Returns the time until which a request may wait. */
export function latestWaitEnd({req, arrivedAt}: WaitingRequest): number {
	return arrivedAt + ((req.deadlineMs ?? Infinity) * maxWaitShare);
}

/** Requests that wait for an event, each for a limited time. A request leaves the set when its caller disconnects. */
export class WaitingRequests {
	private readonly _timers = new Map<WaitingRequest, Disposable>();

	constructor(
		private readonly _clock: Clock,
		/** Called with each request whose wait has ended. */
		private readonly _onDequeued: (waiting: WaitingRequest) => void,
	) {}

	get size(): number {
		return this._timers.size;
	}

	/** Adds a request until `until`, at most for its share of the caller's deadline. @returns false when the set is full. */
	add(waiting: WaitingRequest, until: number): boolean {
		if (this.size >= maxWaiting) {
			return false;
		}

		const end = Math.min(until, latestWaitEnd(waiting));
		this._timers.set(waiting, this._clock.setTimer(Math.max(0, end - this._clock.now()), () => {
			this._dequeue(waiting);
		}));
		waiting.sink.onDisconnect = () => {
			this._remove(waiting);
		};

		return true;
	}

	/** Ends the wait of all requests that meet the condition. */
	release(condition: (waiting: WaitingRequest) => boolean = () => true): void {
		for (const waiting of [...this._timers.keys()].filter(item => condition(item))) {
			this._dequeue(waiting);
		}
	}

	private _dequeue(waiting: WaitingRequest): void {
		this._remove(waiting);
		this._onDequeued(waiting);
	}

	private _remove(waiting: WaitingRequest): void {
		this._timers.get(waiting)?.dispose();
		this._timers.delete(waiting);
		waiting.sink.onDisconnect = undefined;
	}
}
