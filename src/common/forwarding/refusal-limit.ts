import {hashString} from '../base/hash-string.js';
import {type LimitShare, RequestLimit} from './request-limit.js';

/** Share of the refusals that a server bears which hosts risk; the rest covers hosts that have just come or gone. */
const riskedShare = 0.5;
/** Time in milliseconds after which a host that was refused uses one more place. */
const placeIntervalMs = 1000;

/**
Limits the attempts at a brittle server: one that ends when it refuses more than a number of requests in a second.

Its places are divided among the hosts without messages, in an order that differs from server to server, so that no host can be
refused while all keep to theirs. A host that was refused all the same uses fewer places for a while. Beyond its places a
host sends only in time slots, as many over all hosts as may be refused.
*/
export class RefusalLimit {
	/** Places that this host may use since it was refused, and the time of that. */
	private _placesLeft = Infinity;
	private _refusedAt = -Infinity;
	private readonly _risked: RequestLimit;
	private readonly _offset: number;

	constructor(server: string) {
		this._risked = new RequestLimit(server);
		this._offset = hashString(server);
	}

	/** Refusals in a second that the server bears; undefined without a limit. */
	get maxPerSecond(): number | undefined {
		const {perSecond} = this._risked;
		return perSecond === undefined ? undefined : perSecond / riskedShare;
	}

	/**
	Records what an answer of the server, or of another one of its service, says. An answer without a limit ends the limit only if
	its request was sent after the limit was named last.

	@returns whether the limit has changed.
	*/
	update(maxPerSecond: number | undefined, sentAt: number, now: number): boolean {
		return this._risked.update(maxPerSecond === undefined ? undefined : maxPerSecond * riskedShare, sentAt, now);
	}

	/** Records that the server refused a request while this host had `inFlight` others at it. */
	recordRefused(inFlight: number, now: number): void {
		this._placesLeft = inFlight;
		this._refusedAt = now;
	}

	/** Whether this host may send a request to the server, at which it has `inFlight` others and which runs `capacity` at once. */
	allows(share: LimitShare, inFlight: number, capacity: number, now: number): boolean {
		return this._risked.perSecond === undefined || this._hasPlace(share, inFlight, capacity, now) || this._risked.allows(share);
	}

	/** Records that a request is sent. */
	recordSent(share: LimitShare, inFlight: number, capacity: number, now: number): void {
		if (this._risked.perSecond !== undefined && !this._hasPlace(share, inFlight, capacity, now)) {
			this._risked.recordSent(share);
		}
	}

	private _hasPlace({hostCount, hostIndex}: LimitShare, inFlight: number, capacity: number, now: number): boolean {
		const hosts = Math.max(1, hostCount);
		const hasRest = (hostIndex + this._offset) % hosts < capacity % hosts;
		const places = Math.floor(capacity / hosts) + (hasRest ? 1 : 0);
		return inFlight < Math.min(places, this._placesLeft + Math.floor((now - this._refusedAt) / placeIntervalMs));
	}
}
