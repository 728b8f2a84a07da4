const lineFeed = 10;
const carriageReturn = 13;

/** Complete events of a stream, with the ID of the last one. */
export interface EventBatch {
	/** Bytes of the complete events; undefined when the chunk completed none. */
	readonly completeEvents: Uint8Array | undefined;
	/** ID of the last complete event. */
	readonly lastId: number | undefined;
	/** Number of complete events that have an ID. */
	readonly count: number;
}

const decoder = new TextDecoder();

/**
Splits a stream into complete events and buffers the remainder. A stream that breaks inside an event can then resume at
another backend server without a partial or duplicate event.
*/
export class EventSplitter {
	private _remainder: Uint8Array = new Uint8Array(0);

	/** Bytes of an incomplete event. */
	get remainder(): Uint8Array {
		return this._remainder;
	}

	push(chunk: Uint8Array): EventBatch {
		const bytes = this._remainder.length === 0 ? chunk : concat(this._remainder, chunk);
		const end = endOfLastEvent(bytes);
		this._remainder = bytes.subarray(end);
		if (end === 0) {
			return {completeEvents: undefined, lastId: undefined, count: 0};
		}

		const completeEvents = bytes.subarray(0, end);
		const ids = [...decoder.decode(completeEvents).matchAll(/^id:\s*(?<id>\d+)\s*$/gmv)];
		const last = ids.at(-1)?.groups?.id;
		return {completeEvents, lastId: last === undefined ? undefined : Number(last), count: ids.length};
	}
}

/** Offset after the last blank line; a blank line ends an event. */
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

function concat(first: Uint8Array, second: Uint8Array): Uint8Array {
	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
}
