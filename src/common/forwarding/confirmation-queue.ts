import {type Clock} from '../base/clock.js';
import {latestWaitEnd, type WaitingRequest, WaitingRequests} from './waiting-requests.js';

/** Maximum time in milliseconds for which a request waits: a renewal without delay, or the rest of one that the leader holds. */
const confirmationTimeoutMs = 450;
/** Minimum time in milliseconds that a renewal takes; a request that may not wait as long is refused at once. */
const minWaitMs = 50;
/** Minimum interval in milliseconds between two requests for a confirmation, so that refused callers do not multiply the renewals. */
const askIntervalMs = 200;

/** Queues requests that the applied configuration does not allow, until it is confirmed to be the newest one. */
export class ConfirmationQueue {
	private readonly _waiting: WaitingRequests;
	private _askedAt = -Infinity;

	constructor(
		private readonly _clock: Clock,
		/** Asks for a confirmation as soon as possible. */
		private readonly _confirm: () => void,
		/** Called with each request that leaves the queue, because it can be decided or because the wait timed out. */
		onDequeued: (waiting: WaitingRequest) => void,
	) {
		this._waiting = new WaitingRequests(_clock, onDequeued);
	}

	/** Number of waiting requests. */
	get size(): number {
		return this._waiting.size;
	}

	/** Asks for a confirmation, unless one was asked for within the last interval. */
	ask(): void {
		const now = this._clock.now();
		if (now >= this._askedAt + askIntervalMs) {
			this._askedAt = now;
			this._confirm();
		}
	}

	/** Offers a request. @returns whether it is queued; otherwise it must be refused at once. */
	offer(waiting: WaitingRequest): boolean {
		const now = this._clock.now();
		return now + minWaitMs <= latestWaitEnd(waiting) && this._waiting.add(waiting, now + confirmationTimeoutMs);
	}

	/** Releases the requests that can be decided now. */
	release(isDecidable: (waiting: WaitingRequest) => boolean): void {
		this._waiting.release(isDecidable);
	}
}
