import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type CallerSink} from './caller-sink.js';
import {type ForwardRequest} from './forward-request.js';

/** Time in milliseconds from the start of a host within which it gains its first lease, even when all hosts start together. */
const firstLeaseTimeoutMs = 1800;
/** Time in milliseconds within which an expired lease is renewed when the control hosts are healthy, as after a suspension of this process. */
const renewalTimeoutMs = 400;
/** Share of a caller's deadline that it may wait for a lease; the rest is enough to ask another host. */
const maxWaitShare = 1 / 3;
/** Maximum number of waiting requests; further requests are refused at once. */
const maxWaiting = 256;

/** A waiting request with its arrival time. */
export interface WaitingRequest {
	readonly req: ForwardRequest;
	readonly sink: CallerSink;
	readonly arrivedAt: number;
}

/**
Queues requests while a lease is expected within a short time: after startup, or when the expiry of a lease was just noticed.
When all hosts have just started, all callers arrive at once; if the hosts refused them, they would retry later than
the lease is gained.
*/
export class LeaseQueue {
	private readonly _waiting = new Set<WaitingRequest>();
	private _timer: Disposable | undefined;
	/** Time until which a lease is expected. */
	private _expectedUntil: number;
	/** Whether an arriving request has noticed the expiry of the last lease; true before the first lease. */
	private _isExpiryNoticed = true;

	constructor(
		private readonly _clock: Clock,
		/** Called with each request that leaves the queue, because a lease was gained or because the wait timed out. */
		private readonly _onDequeued: (waiting: WaitingRequest) => void,
	) {
		this._expectedUntil = _clock.now() + firstLeaseTimeoutMs;
	}

	/** Number of waiting requests. */
	get size(): number {
		return this._waiting.size;
	}

	/** Offers a request that arrived while the host had no lease. @returns whether it is queued; otherwise it must be refused at once. */
	offer(req: ForwardRequest, sink: CallerSink): boolean {
		const now = this._clock.now();
		if (!this._isExpiryNoticed) {
			this._isExpiryNoticed = true;
			this._expectedUntil = now + renewalTimeoutMs;
		}

		const maxWaitMs = (req.deadlineMs ?? Infinity) * maxWaitShare;
		if (now >= this._expectedUntil || now + maxWaitMs < this._expectedUntil - renewalTimeoutMs || this._waiting.size >= maxWaiting) {
			return false;
		}

		const waiting: WaitingRequest = {req, sink, arrivedAt: now};
		this._waiting.add(waiting);
		sink.onDisconnect = () => {
			this._waiting.delete(waiting);
		};

		this._timer ??= this._clock.setTimer(this._expectedUntil - now, () => {
			this._dequeueAll();
		});
		return true;
	}

	/** Releases all waiting requests; called when the host has a lease and a configuration. */
	flush(): void {
		this._isExpiryNoticed = false;
		this._dequeueAll();
	}

	private _dequeueAll(): void {
		this._timer?.dispose();
		this._timer = undefined;
		const waiting = [...this._waiting];
		this._waiting.clear();
		for (const item of waiting) {
			item.sink.onDisconnect = undefined;
			this._onDequeued(item);
		}
	}
}
