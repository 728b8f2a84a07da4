import {type Clock} from '../base/clock.js';
import {latestWaitEnd, type WaitingRequest, WaitingRequests} from './waiting-requests.js';

/** Time in milliseconds from the start of a host within which it gains its first lease, even when all hosts start together. */
const firstLeaseTimeoutMs = 1800;
/** Time in milliseconds within which an expired lease is renewed when the control hosts are healthy, as after a suspension of this process. */
const renewalTimeoutMs = 400;

/**
Queues requests while a lease is expected within a short time: after startup, or when the expiry of a lease was just noticed.
When all hosts have just started, all callers arrive at once; if the hosts refused them, they would retry later than
the lease is gained.
*/
export class LeaseQueue {
	private readonly _waiting: WaitingRequests;
	/** Time until which a lease is expected. */
	private _expectedUntil: number;
	/** Whether an arriving request has noticed the expiry of the last lease; true before the first lease. */
	private _isExpiryNoticed = true;

	constructor(
		private readonly _clock: Clock,
		/** Called with each request that leaves the queue, because a lease was gained or because the wait timed out. */
		onDequeued: (waiting: WaitingRequest) => void,
	) {
		this._expectedUntil = _clock.now() + firstLeaseTimeoutMs;
		this._waiting = new WaitingRequests(_clock, onDequeued);
	}

	/** Number of waiting requests. */
	get size(): number {
		return this._waiting.size;
	}

	/** Offers a request that arrived while the host had no lease. @returns whether it is queued; otherwise it must be refused at once. */
	offer(waiting: WaitingRequest): boolean {
		const now = this._clock.now();
		if (!this._isExpiryNoticed) {
			this._isExpiryNoticed = true;
			this._expectedUntil = now + renewalTimeoutMs;
		}

		if (now >= this._expectedUntil || latestWaitEnd(waiting) < this._expectedUntil - renewalTimeoutMs) {
			return false;
		}

		return this._waiting.add(waiting, this._expectedUntil);
	}

	/** Releases all waiting requests; called when the host has a lease and a configuration. */
	flush(): void {
		this._isExpiryNoticed = false;
		this._waiting.release();
	}
}
