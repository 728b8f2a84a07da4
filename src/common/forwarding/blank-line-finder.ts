const lineFeed = 10;
const carriageReturn = 13;

/** What has arrived of the current line. */
const line = {other: 0, nothing: 1, carriageReturn: 2} as const;
type Line = typeof line[keyof typeof line];

/** Finds blank lines in a stream, also those that straddle chunks. Looks at each byte once. */
export class BlankLineFinder {
	/** The first line of a stream ends no block, even if it is blank. */
	private _line: Line = line.other;

	/** Returns the offset after the next blank line in the chunk, or 0 when there is none in the rest of it. `from` is the offset at which the last search in this chunk ended. */
	next(chunk: Uint8Array, from: number): number {
		let at = from;
		while (at < chunk.length) {
			const byte = chunk[at]!;
			if (this._line !== line.other && byte === lineFeed) {
				this._line = line.nothing;
				return at + 1;
			}

			if (this._line === line.nothing && byte === carriageReturn) {
				this._line = line.carriageReturn;
				at++;
				continue;
			}

			this._line = line.other;
			const end = chunk.indexOf(lineFeed, at);
			if (end === -1) {
				return 0;
			}

			this._line = line.nothing;
			at = end + 1;
		}

		return 0;
	}
}
