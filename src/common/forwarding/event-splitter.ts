const lineFeed = 10;
const carriageReturn = 13;
/** Maximum number of bytes before the end of an event; more are taken for bytes that are no answer. */
const maxEventBytes = 64 * 1024;

/** Why a stream is no valid answer. */
export type StreamProblem = 'event-too-long' | 'not-an-event' | 'event-out-of-order';

/** Complete events of a stream, with the ID of the last one. */
export interface EventBatch {
	/** Bytes of the complete events; undefined when the chunk completed none. */
	readonly completeEvents: Uint8Array | undefined;
	/** ID of the last complete event. */
	readonly lastId: number | undefined;
	/** Number of complete events that have an ID. */
	readonly count: number;
	/** Set when the stream is not valid; its complete events must not be used then. */
	readonly problem?: StreamProblem;
}

const decoder = new TextDecoder();
const noEvents: EventBatch = {completeEvents: undefined, lastId: undefined, count: 0};
const eventEnd = /\r?\n\r?\n/v;
const idLine = /^id:\s*(?<id>\d+)\s*$/mv;
/** A block without an event: comments, by which a server keeps the connection open, and the time after which to reconnect. */
const noEventBlock = /^(?:(?::|retry:)[^\n]*(?:\n|$)|\s)*$/v;

/**
Splits a stream into complete events and buffers the remainder. A stream that breaks inside an event can then resume at
another backend server without a partial or duplicate event. Checks that the IDs of the events increase.
*/
export class EventSplitter {
	private _remainder: Uint8Array = new Uint8Array(0);
	private _held: Uint8Array = new Uint8Array(0);
	private _lastId: number | undefined;

	/** Bytes of an incomplete event. */
	get remainder(): Uint8Array {
		return this._remainder;
	}

	/** Blocks without an event since the last event; they belong to the answer if an event or its end follows. */
	get held(): Uint8Array {
		return this._held;
	}

	/** ID of the last complete event; undefined before the first one. */
	get lastId(): number | undefined {
		return this._lastId;
	}

	/** Whether an event is complete. */
	get hasEvents(): boolean {
		return this._lastId !== undefined;
	}

	push(chunk: Uint8Array): EventBatch {
		const bytes = this._remainder.length === 0 ? chunk : concat(this._remainder, chunk);
		const end = endOfLastEvent(bytes);
		this._remainder = bytes.subarray(end);
		if (this._held.length + this._remainder.length > maxEventBytes) {
			return {...noEvents, problem: 'event-too-long'};
		}

		if (end === 0) {
			return noEvents;
		}

		const blocks = bytes.subarray(0, end);
		let count = 0;
		for (const block of decoder.decode(blocks).split(eventEnd)) {
			const id = idLine.exec(block)?.groups?.id;
			if (id === undefined) {
				if (!noEventBlock.test(block)) {
					return {...noEvents, problem: 'not-an-event'};
				}
			} else if (this._lastId !== undefined && Number(id) <= this._lastId) {
				return {...noEvents, problem: 'event-out-of-order'};
			} else {
				this._lastId = Number(id);
				count++;
			}
		}

		const completeEvents = this._held.length === 0 ? blocks : concat(this._held, blocks);
		// Without an event, the bytes only keep the connection open.
		this._held = count === 0 ? completeEvents : new Uint8Array(0);
		return count === 0 ? noEvents : {completeEvents, lastId: this._lastId, count};
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
