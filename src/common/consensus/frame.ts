import {crc32} from './crc32.js';

/** The first byte never occurs in UTF-8 text, so a payload cannot contain the start of a frame. */
const magic = Uint8Array.of(0xFF, 0xCB, 0x4C, 0x47);
const lengthOffset = 4;
const sequenceOffset = 8;
const checksumOffset = 16;

/** Size of the header of a frame in bytes. */
export const frameHeaderSize = 20;

/** Unit of one write to a file: a payload with a header that contains a checksum. */
export interface Frame {
	/** Sequence number of the frame; it has no gaps within a log. */
	readonly sequence: number;
	readonly payload: Uint8Array;
	/** Offset of the first byte after the frame. */
	readonly end: number;
}

/** Encodes a frame. */
export function encodeFrame(sequence: number, payload: Uint8Array): Uint8Array {
	const bytes = new Uint8Array(frameHeaderSize + payload.length);
	const view = new DataView(bytes.buffer);
	bytes.set(magic);
	view.setUint32(lengthOffset, payload.length);
	view.setBigUint64(sequenceOffset, BigInt(sequence));
	bytes.set(payload, frameHeaderSize);
	view.setUint32(checksumOffset, checksumOf(bytes, payload));
	return bytes;
}

/** Decodes the frame at an offset; undefined if there is no intact frame. */
export function decodeFrame(bytes: Uint8Array, offset: number): Frame | undefined {
	if (offset + frameHeaderSize > bytes.length || magic.some((byte, position) => bytes[offset + position] !== byte)) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset + offset);
	const end = offset + frameHeaderSize + view.getUint32(lengthOffset);
	if (end > bytes.length) {
		return undefined;
	}

	const payload = bytes.subarray(offset + frameHeaderSize, end);
	if (checksumOf(bytes.subarray(offset), payload) !== view.getUint32(checksumOffset)) {
		return undefined;
	}

	return {sequence: Number(view.getBigUint64(sequenceOffset)), payload, end};
}

/** Whether an intact frame starts anywhere at or after the offset. */
export function hasFrameAfter(bytes: Uint8Array, offset: number): boolean {
	for (let start = bytes.indexOf(magic[0]!, offset); start !== -1; start = bytes.indexOf(magic[0]!, start + 1)) {
		if (decodeFrame(bytes, start)) {
			return true;
		}
	}

	return false;
}

function checksumOf(header: Uint8Array, payload: Uint8Array): number {
	return crc32(payload, crc32(header.subarray(lengthOffset, checksumOffset)));
}
