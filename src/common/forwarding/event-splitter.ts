const lineFeed = 10;
const carriageReturn = 13;

/** Whole events of a stream with the number of the last one. */
export interface EventBatch {
	/** Bytes of whole events; undefined when the chunk completed none. */
	readonly bytes: Uint8Array | undefined;
	/** Number of the last whole event. */
	readonly lastId: number | undefined;
	/** Whole events in the batch. */
	readonly count: number;
}

const decoder = new TextDecoder();

/**
Splits a stream into whole events and keeps back the rest, so that a stream that breaks off inside an event can go on at
another backend server without a torn or doubled event.
*/
export class EventSplitter {
	private _rest: Uint8Array = new Uint8Array(0);

	/** Bytes of an event that is not complete. */
	get rest(): Uint8Array {
		return this._rest;
	}

	push(chunk: Uint8Array): EventBatch {
		const bytes = this._rest.length === 0 ? chunk : concat(this._rest, chunk);
		const end = endOfLastEvent(bytes);
		this._rest = bytes.subarray(end);
		if (end === 0) {
			return {bytes: undefined, lastId: undefined, count: 0};
		}

		const whole = bytes.subarray(0, end);
		const ids = [...decoder.decode(whole).matchAll(/^id:\s*(?<id>\d+)\s*$/gmv)];
		const last = ids.at(-1)?.groups?.id;
		return {bytes: whole, lastId: last === undefined ? undefined : Number(last), count: ids.length};
	}
}

/** Offset behind the last blank line, which ends an event. */
function endOfLastEvent(bytes: Uint8Array): number {
	for (let at = bytes.length - 1; at > 0; at--) {
		if (bytes[at] !== lineFeed) {
			continue;
		}

		const before = bytes[at - 1];
		if (before === lineFeed || (before === carriageReturn && bytes[at - 2] === lineFeed)) {
			return at + 1;
		}
	}

	return 0;
}

function concat(one: Uint8Array, other: Uint8Array): Uint8Array {
	const joined = new Uint8Array(one.length + other.length);
	joined.set(one);
	joined.set(other, one.length);
	return joined;
}
