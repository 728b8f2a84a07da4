import {joinBytes} from './join-bytes.js';

/** Sizes in bytes of the smallest and the largest block. */
const minBlockBytes = 256;
const maxBlockBytes = 64 * 1024;

/**
Collects bytes that arrive in pieces. Its memory follows the bytes and not the number of pieces: pieces are copied into blocks
that are at most twice as large as what they hold. Only a first piece that fills most of its own memory is kept by reference.
*/
export class ByteBuffer {
	/** Blocks that are full, in order. */
	private _blocks: Uint8Array[] = [];
	/** The block that is being filled, and the number of bytes in it. */
	private _block: Uint8Array | undefined;
	private _used = 0;
	private _length = 0;

	/** Number of bytes. */
	get length(): number {
		return this._length;
	}

	/** Memory in bytes that the blocks take. */
	get capacity(): number {
		return this._blocks.reduce((sum, block) => sum + block.buffer.byteLength, this._block?.length ?? 0);
	}

	/** The bytes, in blocks of up to 64 KiB, or more for a first piece that is larger. */
	get blocks(): readonly Uint8Array[] {
		return this._block ? [...this._blocks, this._block.subarray(0, this._used)] : [...this._blocks];
	}

	push(piece: Uint8Array): void {
		if (piece.length === 0) {
			return;
		}

		if (this._length === 0 && piece.length * 2 >= piece.buffer.byteLength) {
			this._blocks.push(piece);
			this._length = piece.length;
			return;
		}

		for (let at = 0; at < piece.length;) {
			const block = this._blockWithRoom(piece.length - at);
			const count = Math.min(block.length - this._used, piece.length - at);
			block.set(piece.subarray(at, at + count), this._used);
			this._used += count;
			this._length += count;
			at += count;
		}
	}

	/** Removes and returns the blocks. */
	takeBlocks(): readonly Uint8Array[] {
		const {blocks} = this;
		this._blocks = [];
		this._block = undefined;
		this._used = 0;
		this._length = 0;
		return blocks;
	}

	/** Removes all bytes and returns them in one piece. */
	take(): Uint8Array {
		return joinBytes(this.takeBlocks());
	}

	private _blockWithRoom(wanted: number): Uint8Array {
		if (this._block && this._used < this._block.length) {
			return this._block;
		}

		if (this._block) {
			this._blocks.push(this._block);
		}

		// As many bytes as are held already, so that blocks are neither many nor mostly empty.
		this._block = new Uint8Array(Math.min(maxBlockBytes, Math.max(minBlockBytes, this._length, wanted)));
		this._used = 0;
		return this._block;
	}
}
