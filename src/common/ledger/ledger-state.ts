import {type Event} from '../base/event.js';
import {Emitter} from '../base/emitter.js';
import {type StateMachine} from '../consensus/state-machine.js';
import {Fifo} from './fifo.js';
import {IncarnationTable, type KnownIncarnation} from './incarnation-table.js';
import {KeyTable} from './key-table.js';
import {type Bill} from './ledger.js';
import {decodeBatch, type LedgerBatch} from './ledger-codec.js';
import {type EncodedBatch, type LedgerCommand} from './ledger-command.js';
import {defaultLedgerLimits, type LedgerLimits} from './ledger-limits.js';
import {type CloseRecord, type LedgerRecord, type OpenRecord} from './ledger-record.js';
import {type EncodedResult, type LedgerReply} from './ledger-reply.js';
import {PinTable} from './pin-table.js';
import {TotalsTable} from './totals-table.js';

/** A request that has been opened and not closed. */
export interface OpenRequest {
	readonly record: OpenRecord;
	readonly entry: string;
	readonly incarnation: number;
	/** Time of the open in the ledger. */
	readonly at: number;
}

type Snapshot = {
	time: number;
	open: OpenRequest[];
	incarnations: unknown;
	keys: unknown;
	pins: unknown;
	totals: unknown;
	bills: Bill[];
	unknown: Bill[];
};

/**
State machine of one ledger group: open requests, idempotency keys, session pins, totals and the latest bills. Its time
is the largest `at` of the commands applied so far, so it never decreases and never depends on a local clock. All parts
are bounded by `LedgerLimits`.
*/
export class LedgerState implements StateMachine<LedgerCommand, LedgerReply> {
	readonly keys: KeyTable;
	readonly pins: PinTable;
	readonly totals: TotalsTable;
	readonly incarnations: IncarnationTable;

	private _time = 0;
	private readonly _open = new Map<string, OpenRequest>();
	private readonly _bills = new Fifo<Bill>();
	private readonly _unknown = new Fifo<Bill>();
	private readonly _onClosed = new Emitter<Bill>();

	constructor(private readonly _limits: LedgerLimits = defaultLedgerLimits) {
		this.keys = new KeyTable(_limits);
		this.pins = new PinTable(_limits);
		this.totals = new TotalsTable(_limits.maxTotalRows);
		this.incarnations = new IncarnationTable(_limits.maxIncarnations);
	}

	/** Fires on every member when it applies a bill. */
	get onClosed(): Event<Bill> {
		return this._onClosed.event;
	}

	get time(): number {
		return this._time;
	}

	get open(): ReadonlyMap<string, OpenRequest> {
		return this._open;
	}

	/** The latest bills, oldest first. */
	get bills(): Iterable<Bill> {
		return this._bills;
	}

	/** The latest bills with outcome `unknown`, oldest first. */
	get unknown(): Iterable<Bill> {
		return this._unknown;
	}

	apply(_index: number, command: LedgerCommand): LedgerReply {
		this._advanceTime(command[1]);
		return command[0] === 'fence' ? {fenced: this._fence(command[2], command[3])} : this._applyBatch(command[2]);
	}

	snapshot(): unknown {
		const snapshot: Snapshot = {
			time: this._time,
			open: [...this._open.values()],
			incarnations: this.incarnations.snapshot(),
			keys: this.keys.snapshot(),
			pins: this.pins.snapshot(),
			totals: this.totals.snapshot(),
			bills: [...this._bills],
			unknown: [...this._unknown],
		};
		return snapshot;
	}

	restore(snapshot: unknown): void {
		const data = snapshot as Snapshot;
		this._time = data.time;
		this._open.clear();
		for (const open of data.open) {
			this._open.set(open.record.requestId, open);
		}

		this.incarnations.restore(data.incarnations);
		this.keys.restore(data.keys);
		this.pins.restore(data.pins);
		this.totals.restore(data.totals);
		this._bills.reset(data.bills);
		this._unknown.reset(data.unknown);
	}

	private _advanceTime(at: number): void {
		if (!(at > this._time)) {
			return;
		}

		this._time = at;
		this.keys.expire(at - this._limits.keyRetentionMs);
		this.pins.expire(at - this._limits.pinRetentionMs);
	}

	private _applyBatch(encoded: EncodedBatch): LedgerReply {
		let batch: LedgerBatch;
		try {
			batch = decodeBatch(encoded);
		} catch {
			return {refused: 'malformed'};
		}

		const decision = this.incarnations.checkBatch(batch.entry, batch.incarnation, batch.sequence);
		if (decision.kind === 'refuse') {
			return {refused: decision.reason};
		}

		if (decision.kind === 'apply') {
			if (decision.supersedes) {
				// A new process has started, so the earlier processes of the entry host have ended.
				this._settleLostRequests(open => open.entry === batch.entry && open.incarnation < batch.incarnation);
			}

			const results = batch.records.map(record => this._applyRecord(record, decision.known));
			decision.known.sequence = batch.sequence;
			decision.known.results = results;
		}

		const {results} = decision.kind === 'apply' ? decision.known : decision;
		return {applied: results.map(result => this._withAnswer(result))};
	}

	private _applyRecord(record: LedgerRecord, from: KnownIncarnation): EncodedResult {
		switch (record.type) {
			case 'open': {
				return this._openRequest(record, from);
			}

			case 'close': {
				return this._closeRequest(record, from);
			}

			case 'pin': {
				const ref = this.pins.set(record, this._time);
				return ref === undefined ? {x: 'pins'} : {v: ref};
			}
		}
	}

	private _openRequest(record: OpenRecord, {entry, incarnation}: KnownIncarnation): EncodedResult {
		const {requestId, customer, service, session, key, bodyHash = ''} = record;
		if (this._open.has(requestId)) {
			return {r: requestId};
		}

		const owner = key === undefined ? undefined : this.keys.get(customer, key);
		if (owner) {
			if (owner.bodyHash !== bodyHash) {
				return 3;
			}

			return owner.bill ? {b: owner.bill, k: key!} : {r: owner.requestId};
		}

		if (this._open.size >= this._limits.maxOpen || (key !== undefined && this.keys.isFull)) {
			return {x: this._open.size >= this._limits.maxOpen ? 'open' : 'keys'};
		}

		if (key !== undefined) {
			this.keys.claim(customer, key, {requestId, bodyHash});
		}

		this._open.set(requestId, {
			record, entry, incarnation, at: this._time,
		});
		const pin = session === undefined ? undefined : this.pins.touch({customer, service, session}, this._time);
		// Entry hosts cache pins. Only a replaced pin can differ from the cached one, so only that is returned.
		return pin && pin.changes > 0 ? {p: pin.ref} : 0;
	}

	private _closeRequest(record: CloseRecord, {entry, incarnation}: KnownIncarnation): EncodedResult {
		const open = this._open.get(record.requestId);
		if (open?.entry !== entry || open.incarnation !== incarnation) {
			return 2;
		}

		this._recordBill(open, record);
		return 1;
	}

	private _fence(entry: string, incarnation: number): number {
		if (!this.incarnations.fence(entry, incarnation)) {
			return 0;
		}

		return this._settleLostRequests(open => open.entry === entry && open.incarnation <= incarnation);
	}

	private _settleLostRequests(isLost: (open: OpenRequest) => boolean): number {
		// A fence occurs a few hundred times a day, so searching all open requests is cheaper than keeping an index.
		const lost = [...this._open.values()].filter(open => isLost(open));
		for (const open of lost) {
			this._recordBill(open, {
				type: 'close', requestId: open.record.requestId, outcome: open.record.idempotent ? 'interrupted' : 'unknown', cost: 0, attempts: [], at: this._time,
			});
		}

		return lost.length;
	}

	private _recordBill({record, entry}: OpenRequest, {type, answer, ...close}: CloseRecord): void {
		const bill: Bill = {
			...close, customer: record.customer, service: record.service, session: record.session, entry,
		};
		this._open.delete(record.requestId);
		if (record.key !== undefined) {
			// Frees the key if the request certainly did not run, or if it is idempotent and was not answered: otherwise a resend
			// would be refused for a day.
			const isFree = close.notRun === true || (record.idempotent && close.outcome !== 'answered');
			if (isFree) {
				this.keys.release(record.customer, record.key, record.requestId);
			} else {
				this.keys.recordBill(bill, record.key, answer, this._time);
			}
		}

		this.totals.add(bill, this._time);
		this._bills.pushBounded(bill, this._limits.maxHistory);
		if (bill.outcome === 'unknown') {
			this._unknown.pushBounded(bill, this._limits.maxHistory);
		}

		this._onClosed.fire(bill);
	}

	/** Adds the recorded answer. Stored results contain no answers; only the key table holds them, within its limit. */
	private _withAnswer(result: EncodedResult): EncodedResult {
		if (typeof result !== 'object' || !('b' in result)) {
			return result;
		}

		const answer = this.keys.answerOf(result.b, result.k);
		return answer === undefined ? result : {b: {...result.b, answer}, k: result.k};
	}
}
