import {ByteBuffer} from '../base/byte-buffer.js';
import {joinBytes} from '../base/join-bytes.js';
import {BlankLineFinder} from './blank-line-finder.js';

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
const idLine = /^id:\s*(?<id>\d+)\s*$/mv;
/** A block without an event: comments, by which a server keeps the connection open, and the time after which to reconnect. */
const noEventBlock = /^(?:(?::|retry:)[^\n]*(?:\n|$)|\s)*$/v;
/** Length in bytes of the longest blank line; a block that is not longer has no other line. */
const maxBlankLineBytes = 2;

/**
Splits a stream into complete events and buffers the remainder. A stream that breaks inside an event can then resume at
another backend server without a partial or duplicate event. Checks that the IDs of the events increase.

Its results, work and memory follow the bytes, and not the chunks in which they arrive.
*/
export class EventSplitter {
	/** The beginning of a block that is not complete. */
	private readonly _remainder = new ByteBuffer();
	/** Complete blocks without an event. */
	private readonly _held = new ByteBuffer();
	private readonly _blankLines = new BlankLineFinder();
	private _lastId: number | undefined;

	/** Bytes of an incomplete event. */
	get remainder(): Uint8Array {
		return joinBytes(this._remainder.blocks);
	}

	/** Blocks without an event since the last event; they belong to the answer if an event or its end follows. */
	get held(): Uint8Array {
		return joinBytes(this._held.blocks);
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
		let count = 0;
		let heldBytes = this._held.length;
		let eventsEnd = 0;
		let from = 0;
		for (let end = this._blankLines.next(chunk, 0); end > 0; end = this._blankLines.next(chunk, end)) {
			const length = (from === 0 ? this._remainder.length : 0) + end - from;
			// A block is complete with its last byte, so it may have one more.
			if (heldBytes + length > maxEventBytes + 1) {
				return {...noEvents, problem: 'event-too-long'};
			}

			const result = length > maxBlankLineBytes && this._read(this._blockOf(chunk, from, end));
			if (typeof result === 'string') {
				return {...noEvents, problem: result};
			}

			from = end;
			if (result) {
				count++;
				heldBytes = 0;
				eventsEnd = end;
			} else {
				heldBytes += length;
			}
		}

		let batch = noEvents;
		if (count > 0) {
			batch = {completeEvents: joinBytes([...this._held.takeBlocks(), ...this._remainder.takeBlocks(), chunk.subarray(0, eventsEnd)]), lastId: this._lastId, count};
		}

		if (from > eventsEnd) {
			// Without an event, the blocks only keep the connection open.
			for (const bytes of [...this._remainder.takeBlocks(), chunk.subarray(eventsEnd, from)]) {
				this._held.push(bytes);
			}
		}

		this._remainder.push(chunk.subarray(from));
		return this._held.length + this._remainder.length > maxEventBytes ? {...noEvents, problem: 'event-too-long'} : batch;
	}

	/** Returns a complete block, with its beginning in earlier chunks. */
	private _blockOf(chunk: Uint8Array, from: number, end: number): Uint8Array {
		const bytes = chunk.subarray(from, end);
		return from === 0 ? joinBytes([...this._remainder.blocks, bytes]) : bytes;
	}

	/** Reads a complete block. @returns whether it is an event, or why the stream is not valid. */
	private _read(block: Uint8Array): boolean | StreamProblem {
		const text = decoder.decode(block);
		const id = idLine.exec(text)?.groups?.id;
		if (id === undefined) {
			return noEventBlock.test(text) ? false : 'not-an-event';
		}

		if (this._lastId !== undefined && Number(id) <= this._lastId) {
			return 'event-out-of-order';
		}

		this._lastId = Number(id);
		return true;
	}
}
