import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type CallerSink} from './caller-sink.js';
import {type ForwardRequest} from './forward-request.js';

/** Time in milliseconds from the start of a host within which it has its first lease, also when all hosts start together. */
const firstLeaseWithinMs = 1800;
/** Time in milliseconds within which a lease that lapsed without a fault of the control hosts, as after a suspension, is renewed. */
const renewedWithinMs = 400;
/** Part of a caller's deadline that it may wait for a lease; the rest is enough to ask another host. */
const deadlineShare = 1 / 3;
/** Requests that wait at most; a host that gets more refuses them at once. */
const maxWaiting = 256;

/** A request that waits, with the time of its arrival. */
export interface WaitingRequest {
	readonly req: ForwardRequest;
	readonly sink: CallerSink;
	readonly arrivedAt: number;
}

/**
Requests that wait for a lease which is expected within a short time: after a start, or after a lapse that was just noticed.
Answers the load of all callers that return to hosts which have just started; refused, they come back later than the lease does.
*/
export class LeaseQueue {
	private readonly _waiting = new Set<WaitingRequest>();
	private _timer: Disposable | undefined;
	/** End of the time in which a lease is expected. */
	private _expectedUntil: number;
	private _isLapsed = true;

	constructor(
		private readonly _clock: Clock,
		/** Called with each request that leaves the queue: with the lease, or because it was not granted in time. */
		private readonly _release: (waiting: WaitingRequest) => void,
	) {
		this._expectedUntil = _clock.now() + firstLeaseWithinMs;
	}

	/** Requests that wait now. */
	get size(): number {
		return this._waiting.size;
	}

	/** Takes a request that arrives without a lease. @returns whether it waits; otherwise it is to be refused at once. */
	offer(req: ForwardRequest, sink: CallerSink): boolean {
		const now = this._clock.now();
		if (!this._isLapsed) {
			this._isLapsed = true;
			this._expectedUntil = now + renewedWithinMs;
		}

		const patienceMs = (req.deadlineMs ?? Infinity) * deadlineShare;
		if (now >= this._expectedUntil || now + patienceMs < this._expectedUntil - renewedWithinMs || this._waiting.size >= maxWaiting) {
			return false;
		}

		const waiting: WaitingRequest = {req, sink, arrivedAt: now};
		this._waiting.add(waiting);
		sink.onGone = () => {
			this._waiting.delete(waiting);
		};

		this._timer ??= this._clock.setTimer(this._expectedUntil - now, () => {
			this._flush();
		});
		return true;
	}

	/** Forwards what waits; called when the host has a lease and a configuration. */
	open(): void {
		this._isLapsed = false;
		this._flush();
	}

	private _flush(): void {
		this._timer?.dispose();
		this._timer = undefined;
		const waiting = [...this._waiting];
		this._waiting.clear();
		for (const item of waiting) {
			item.sink.onGone = undefined;
			this._release(item);
		}
	}
}
