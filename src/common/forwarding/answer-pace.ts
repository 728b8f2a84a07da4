const bytesPerKib = 1024;

/** Speed at which the body of one answer arrives, measured after its first chunk. */
export class AnswerPace {
	private _firstAt: number | undefined;
	private _lastAt = 0;
	private _bytes = 0;

	/** Time in milliseconds from the first chunk to the last one; undefined before the second chunk. */
	get bodyMs(): number | undefined {
		return this._firstAt === undefined || this._bytes === 0 ? undefined : this._lastAt - this._firstAt;
	}

	/** Mean time in milliseconds for 1,024 bytes; undefined before the second chunk. */
	get msPerKib(): number | undefined {
		return this.bodyMs === undefined ? undefined : this.bodyMs * bytesPerKib / this._bytes;
	}

	/** Records the arrival of a chunk. */
	record(now: number, bytes: number): void {
		this._lastAt = now;
		if (this._firstAt === undefined) {
			this._firstAt = now;
		} else {
			this._bytes += bytes;
		}
	}
}
