import {hashString} from '../base/hash-string.js';

/** Place of a host among those that share the request limits of backend servers. */
export interface LimitShare {
	/** Unix milliseconds by the host's time of day. */
	readonly wallTime: number;
	readonly hostCount: number;
	/** Position of the host among all in the order of their names. */
	readonly hostIndex: number;
}

/** Limits are rounded down to powers of two with this exponent step, so that hosts agree on the slots while a server names slightly different limits. */
const exponentStep = 0.25;
/** Minimum request rate in 1/s over all hosts; without requests, nobody would learn that a limit has ended. */
const minPerSecond = 0.5;
const msPerSecond = 1000;

/**
Request rate that a backend server takes from all hosts together, as its answers name it.

The hosts share it without messages: time is divided into slots of one request, and each slot belongs to one host by turns. A
slot that its host does not use is lost, so hosts that were idle cannot send together later. If the times of day or the lists
of hosts differ, slots overlap at random, and the mean rate stays the same.
*/
export class RequestLimit {
	private _perSecond: number | undefined;
	private _namedAt = -Infinity;
	/** Slot of the last request. */
	private _usedSlot: number | undefined;
	/** Moves the slots of this server against those of other servers with the same limit. */
	private readonly _offset: number;

	constructor(server: string) {
		this._offset = hashString(server);
	}

	/** Request rate in 1/s; undefined without a limit. */
	get perSecond(): number | undefined {
		return this._perSecond;
	}

	/**
	Records what an answer says. An answer without a limit ends the limit only if its request was sent after the limit was named
	last, because answers may overtake each other.

	@returns whether the limit has changed.
	*/
	update(perSecond: number | undefined, sentAt: number, now: number): boolean {
		if (perSecond === undefined && sentAt < this._namedAt) {
			return false;
		}

		const isChanged = perSecond !== this._perSecond;
		this._perSecond = perSecond;
		if (perSecond !== undefined) {
			this._namedAt = now;
		}

		return isChanged;
	}

	/** Whether a host may send a request now. */
	allows(share: LimitShare): boolean {
		const slot = this._slotAt(share);
		return slot === undefined || (slot !== this._usedSlot && (slot + this._offset) % Math.max(1, share.hostCount) === share.hostIndex);
	}

	/** Records that a host has sent a request. */
	recordSent(share: LimitShare): void {
		this._usedSlot = this._slotAt(share);
	}

	private _slotAt({wallTime}: LimitShare): number | undefined {
		if (this._perSecond === undefined) {
			return undefined;
		}

		const exponent = Math.floor(Math.log2(Math.max(minPerSecond, this._perSecond)) / exponentStep) * exponentStep;
		return Math.floor(wallTime * (2 ** exponent) / msPerSecond);
	}
}
