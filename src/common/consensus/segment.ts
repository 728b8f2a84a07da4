import {decodeFrame, hasFrameAfter} from './frame.js';
import {LogCorruptError} from './storage-errors.js';
import {type StoredRecord} from './stored-record.js';

const prefix = 'log-';
const decoder = new TextDecoder();

/** Segment file of the log. */
export interface Segment {
	readonly name: string;
	/** Highest index of the entries in the file; 0 without entries. */
	lastIndex: number;
}

/** Contents of a segment file. */
export interface SegmentContents {
	readonly records: readonly StoredRecord[];
	readonly firstSequence: number;
	readonly lastSequence: number;
	/** Length in bytes of the intact part. */
	readonly length: number;
	/** Whether damaged bytes follow the intact part. */
	readonly isTorn: boolean;
}

/** Name of the segment whose first frame has the sequence number. */
export function segmentName(sequence: number): string {
	return `${prefix}${String(sequence).padStart(12, '0')}`;
}

/** Name under which a segment is archived. */
export function archiveName(name: string): string {
	return `archive-${name.slice(prefix.length)}`;
}

/** Names of the segments among the files, in the order of the log. */
export function segmentNames(files: readonly string[]): string[] {
	return files.filter(file => file.startsWith(prefix)).sort();
}

/** Highest index of the entries of a record; 0 without entries. */
export function lastIndexOf({entries}: StoredRecord): number {
	return entries?.at(-1)?.index ?? 0;
}

/**
Reads a segment up to its torn tail, if it has one.

@throws LogCorruptError if an intact frame follows a damaged one, or if frames are missing.
*/
export function readSegment(name: string, bytes: Uint8Array): SegmentContents {
	const records: StoredRecord[] = [];
	const firstSequence = Number(name.slice(prefix.length));
	let length = 0;
	for (let frame = decodeFrame(bytes, 0); frame; frame = decodeFrame(bytes, length)) {
		if (frame.sequence !== firstSequence + records.length) {
			throw new LogCorruptError(`${name}: frame ${frame.sequence} at offset ${length}, expected ${firstSequence + records.length}`);
		}

		records.push(JSON.parse(decoder.decode(frame.payload)) as StoredRecord);
		length = frame.end;
	}

	if (length < bytes.length && hasFrameAfter(bytes, length)) {
		throw new LogCorruptError(`${name}: damaged at offset ${length}, before intact records; repair the host from the others under a new identity`);
	}

	return {
		records, firstSequence, lastSequence: firstSequence + records.length - 1, length, isTorn: length < bytes.length,
	};
}
