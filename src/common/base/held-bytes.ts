import {type Disposable} from './disposable.js';
import {Emitter} from './emitter.js';
import {type Event} from './event.js';

/** Share of the limit down to which bytes are given up, so that the next ones do not exceed it again at once. */
const keptShare = 0.9;

/** What bytes are held for. */
export const heldKind = {
	requestHead: 'request-head',
	request: 'request',
	unsentAnswer: 'unsent-answer',
	answerHead: 'answer-head',
	bufferedAnswer: 'buffered-answer',
} as const;

/** A value of `heldKind`. */
export type HeldKind = typeof heldKind[keyof typeof heldKind];

/** A peer that was given up. */
export interface GivenUpPeer {
	readonly peer: string;
	/** Bytes that were held for it. */
	readonly bytes: number;
	/** Bytes that were held for all peers. */
	readonly total: number;
}

/** Parts that are held for one peer. */
type PeerParts = {
	readonly name: string;
	readonly parts: Set<HeldPart>;
	bytes: number;
};

/**
Limits the sum of the bytes that a process holds for its peers: bodies that are not complete, answers that are buffered or that
their caller has not read. When the sum exceeds the limit, the peer for which most is held is given up with all its parts.
*/
export class HeldBytes {
	private readonly _peers = new Map<unknown, PeerParts>();
	private readonly _onGivenUp = new Emitter<GivenUpPeer>();
	private readonly _byKind = new Map<HeldKind, number>();
	private _total = 0;

	constructor(private readonly _limit = Infinity) {}

	/** Number of bytes that are held. */
	get total(): number {
		return this._total;
	}

	/** Number of bytes that are held of each kind. */
	get byKind(): ReadonlyMap<HeldKind, number> {
		return this._byKind;
	}

	/** Raised for each peer that is given up. */
	get onGivenUp(): Event<GivenUpPeer> {
		return this._onGivenUp.event;
	}

	/**
	Opens an empty part.

	@param key identifies the peer.
	@param name of the peer, for the log.
	@param giveUp ends what the part is held for; it may be called while the part is changed.
	*/
	open(key: unknown, name: string, giveUp: () => void, kind: HeldKind = heldKind.request): HeldPart {
		let peer = this._peers.get(key);
		if (!peer) {
			peer = {name, parts: new Set(), bytes: 0};
			this._peers.set(key, peer);
		}

		const {parts} = peer;
		const part = new HeldPart(giveUp, delta => {
			peer.bytes += delta;
			this._total += delta;
			this._byKind.set(kind, (this._byKind.get(kind) ?? 0) + delta);
			if (delta > 0 && this._total > this._limit) {
				this._shrink();
			}
		}, () => {
			parts.delete(part);
			if (parts.size === 0 && this._peers.get(key) === peer) {
				this._peers.delete(key);
			}
		});
		parts.add(part);
		return part;
	}

	private _shrink(): void {
		while (this._total > this._limit * keptShare) {
			let costliest: PeerParts | undefined;
			for (const peer of this._peers.values()) {
				if (peer.bytes > (costliest?.bytes ?? 0)) {
					costliest = peer;
				}
			}

			if (!costliest) {
				return;
			}

			this._onGivenUp.fire({peer: costliest.name, bytes: costliest.bytes, total: this._total});
			const parts = [...costliest.parts];
			for (const part of parts) {
				part.dispose();
			}

			for (const part of parts) {
				part.giveUp();
			}
		}
	}
}

/** Bytes that are held for one purpose of a peer. */
export class HeldPart implements Disposable {
	private _bytes = 0;
	private _isDisposed = false;

	constructor(
		/** Ends what the part is held for. */
		readonly giveUp: () => void,
		private readonly _onChanged: (delta: number) => void,
		private readonly _onDisposed: () => void,
	) {}

	/** Changes the number of bytes. */
	set(bytes: number): void {
		if (!this._isDisposed && bytes !== this._bytes) {
			const delta = bytes - this._bytes;
			this._bytes = bytes;
			this._onChanged(delta);
		}
	}

	dispose(): void {
		if (!this._isDisposed) {
			this.set(0);
			this._isDisposed = true;
			this._onDisposed();
		}
	}
}
