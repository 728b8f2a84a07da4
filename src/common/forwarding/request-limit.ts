/** Request rate that a backend server takes from all hosts together, as its answers name it. */
export class RequestLimit {
	private _perSecond: number | undefined;
	private _namedAt = -Infinity;

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
}
