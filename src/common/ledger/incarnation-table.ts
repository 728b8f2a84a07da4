import {type BatchRefusal, type EncodedResult} from './ledger-reply.js';

/** State of the newest known incarnation of one entry host. */
export interface KnownIncarnation {
	readonly entry: string;
	readonly incarnation: number;
	/** Sequence number of the last applied batch. */
	sequence: number;
	/** Results of the last applied batch, returned again when the batch is repeated after a lost reply. */
	results: readonly EncodedResult[];
	fenced: boolean;
}

/** How to handle a received batch. */
export type BatchDecision =
	/** `supersedes`: it is the first batch of an incarnation that replaces an earlier one of the same entry host. */
	| {readonly kind: 'apply'; readonly known: KnownIncarnation; readonly supersedes: boolean}
	| {readonly kind: 'repeat'; readonly results: readonly EncodedResult[]}
	| {readonly kind: 'refuse'; readonly reason: BatchRefusal};

/** Sequence numbers and fences of entry host incarnations. Decides whether a batch is applied, repeated or refused. */
export class IncarnationTable {
	private readonly _known = new Map<string, KnownIncarnation>();
	/** An unknown incarnation with a start time up to this one is refused, because its fence may have been dropped. */
	private _floor = -1;

	constructor(private readonly _limit: number) {}

	/** Incarnations that may still send batches. */
	* live(): Iterable<KnownIncarnation> {
		for (const known of this._known.values()) {
			if (!known.fenced) {
				yield known;
			}
		}
	}

	/** Decides how to handle a batch. The first batch of an unknown incarnation adds it to the table. */
	checkBatch(entry: string, incarnation: number, sequence: number): BatchDecision {
		const known = this._known.get(entry);
		if (known ? incarnation < known.incarnation || (incarnation === known.incarnation && known.fenced) : incarnation <= this._floor) {
			return {kind: 'refuse', reason: 'fenced'};
		}

		const last = known?.incarnation === incarnation ? known.sequence : 0;
		if (sequence === last) {
			return {kind: 'repeat', results: known!.results};
		}

		if (sequence !== last + 1) {
			return {kind: 'refuse', reason: sequence < last ? 'stale' : 'gap'};
		}

		return known?.incarnation === incarnation
			? {kind: 'apply', known, supersedes: false}
			: {kind: 'apply', known: this._add(entry, incarnation, false), supersedes: known !== undefined};
	}

	/** Fences an incarnation and all earlier ones of the entry host. @returns whether anything changed. */
	fence(entry: string, incarnation: number): boolean {
		const known = this._known.get(entry);
		if (known && (known.incarnation > incarnation || (known.incarnation === incarnation && known.fenced))) {
			return false;
		}

		if (known?.incarnation === incarnation) {
			known.fenced = true;
			known.results = [];
		} else {
			this._add(entry, incarnation, true);
		}

		return true;
	}

	snapshot(): unknown {
		return {floor: this._floor, known: [...this._known.values()].map(known => ({...known}))};
	}

	restore(snapshot: unknown): void {
		const {floor, known} = snapshot as {floor: number; known: KnownIncarnation[]};
		this._floor = floor;
		this._known.clear();
		for (const item of known) {
			this._known.set(item.entry, {...item});
		}
	}

	private _add(entry: string, incarnation: number, fenced: boolean): KnownIncarnation {
		const known = {
			entry, incarnation, sequence: 0, results: [], fenced,
		};
		this._known.delete(entry);
		this._known.set(entry, known);
		if (this._known.size > this._limit) {
			this._dropOldestFence();
		}

		return known;
	}

	private _dropOldestFence(): void {
		for (const [entry, known] of this._known) {
			if (known.fenced) {
				this._known.delete(entry);
				this._floor = Math.max(this._floor, known.incarnation);
				return;
			}
		}
	}
}
