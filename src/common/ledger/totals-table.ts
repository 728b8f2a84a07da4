import {type VersionRef} from '../documents/version-ref.js';
import {type Bill} from './ledger.js';
import {type RequestOutcome} from './ledger-record.js';
import {scopedId} from './scoped-id.js';

/** Totals of one customer, service, version and day. */
export interface TotalsRow extends Record<RequestOutcome, number> {
	readonly customer: string;
	readonly service: string;
	/** Empty for plain services and for requests that were not answered by a version. */
	readonly ref: VersionRef | '';
	/** Day in UTC, as days since 1970. */
	readonly day: number;
	/** Attempts on this version, including discarded ones. */
	attempts: number;
	inputTokens: number;
	outputTokens: number;
	/** In the operator's currency unit, including discarded attempts. */
	cost: number;
}

const dayMs = 86_400_000;

/**
Totals by customer, service, version and day. A request and its outcome count for the version of its bill; attempts,
tokens and cost count for the version of each attempt.
*/
export class TotalsTable {
	private readonly _days = new Map<number, Map<string, TotalsRow>>();
	private _size = 0;

	constructor(private readonly _maxRows: number) {}

	get size(): number {
		return this._size;
	}

	* rows(): Iterable<TotalsRow> {
		for (const day of this._days.values()) {
			yield * day.values();
		}
	}

	/** Adds a bill to the day of `at`, which is a time of the ledger, not of the entry host. */
	add(bill: Bill, at: number): void {
		const day = Math.floor(at / dayMs);
		const closing = this._row(bill, bill.ref ?? '', day);
		closing[bill.outcome]++;
		for (const attempt of bill.attempts) {
			const row = this._row(bill, attempt.ref ?? '', day);
			row.attempts++;
			row.inputTokens += attempt.inputTokens;
			row.outputTokens += attempt.outputTokens;
			row.cost += attempt.cost;
		}

		if (bill.attempts.length === 0) {
			closing.cost += bill.cost;
		}
	}

	snapshot(): unknown {
		return [...this.rows()].map(row => ({...row}));
	}

	restore(snapshot: unknown): void {
		this._days.clear();
		this._size = 0;
		for (const row of snapshot as TotalsRow[]) {
			this._put({...row});
		}
	}

	private _row({customer, service}: Bill, ref: string, day: number): TotalsRow {
		const row = this._days.get(day)?.get(scopedId(customer, service, ref));
		return row ?? this._put({
			customer, service, ref, day, answered: 0, failed: 0, cancelled: 0, interrupted: 0, unknown: 0, attempts: 0, inputTokens: 0, outputTokens: 0, cost: 0,
		});
	}

	private _put(row: TotalsRow): TotalsRow {
		let rows = this._days.get(row.day);
		if (!rows) {
			rows = new Map();
			this._days.set(row.day, rows);
		}

		rows.set(scopedId(row.customer, row.service, row.ref), row);
		this._size++;
		if (this._size > this._maxRows) {
			this._dropOldestDay(row.day);
		}

		return row;
	}

	/** Drops the oldest day, or the oldest row if only the current day is left. Ledger time never decreases, so the first day is the oldest. */
	private _dropOldestDay(current: number): void {
		const [day, rows] = this._days.entries().next().value!;
		if (day !== current) {
			this._days.delete(day);
			this._size -= rows.size;
			return;
		}

		rows.delete(rows.keys().next().value!);
		this._size--;
	}
}
