import {hashString} from '../base/hash-string.js';
import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type EntryLedger, type RecordOptions} from './entry-ledger.js';
import {type CloseResult, type OpenResult, type PinResult} from './ledger.js';
import {LedgerFencedError, LedgerUnknownError} from './ledger-errors.js';
import {type LedgerWaitResult} from './ledger-methods.js';
import {type CloseRecord, type OpenRecord, type PinRecord} from './ledger-record.js';

/** Distributes customers over several ledger groups: all records of a customer go to the group selected by its hash. */
export class LedgerGroups implements EntryLedger, Disposable {
	private readonly _store = new DisposableStore();
	private readonly _onFenced = new Emitter<void>();
	/** Group of each request between its open and its close; a close record does not contain the customer. */
	private readonly _groupByRequest = new Map<string, EntryLedger>();
	private _isFenced = false;

	constructor(private readonly _groups: readonly EntryLedger[]) {
		for (const group of _groups) {
			this._store.add(group.onFenced(() => {
				if (!this._isFenced) {
					this._isFenced = true;
					this._onFenced.fire();
				}
			}));
		}
	}

	get onFenced(): Event<void> {
		return this._onFenced.event;
	}

	/** True as soon as one group has fenced this incarnation; then it must not use the other groups either. */
	get isFenced(): boolean {
		return this._isFenced;
	}

	/** Number of requests between their open and their close. */
	get activeRequests(): number {
		return this._groupByRequest.size;
	}

	isOverloaded(customer: string): boolean {
		return this._groupOf(customer).isOverloaded(customer);
	}

	async open(record: OpenRecord, options?: RecordOptions): Promise<OpenResult> {
		const group = this._groupOf(record.customer);
		this._groupByRequest.set(record.requestId, group);
		try {
			const result = await group.open(record, options);
			if (result.status !== 'opened') {
				this._groupByRequest.delete(record.requestId);
			}

			return result;
		} catch (error) {
			// An open with an unknown outcome is still followed by a close.
			if (!(error instanceof LedgerUnknownError)) {
				this._groupByRequest.delete(record.requestId);
			}

			throw error;
		}
	}

	async close(record: CloseRecord, options?: RecordOptions): Promise<CloseResult> {
		const group = this._groupByRequest.get(record.requestId);
		if (!group) {
			return {status: 'already-closed'};
		}

		try {
			const result = await group.close(record, options);
			this._groupByRequest.delete(record.requestId);
			return result;
		} catch (error) {
			// A close that timed out in the queue or was malformed is followed by another close.
			if (error instanceof LedgerFencedError || error instanceof LedgerUnknownError) {
				this._groupByRequest.delete(record.requestId);
			}

			throw error;
		}
	}

	async pin(record: PinRecord, options?: RecordOptions): Promise<PinResult> {
		return this._groupOf(record.customer).pin(record, options);
	}

	async waitClosed(customer: string, key: string, requestId: string, timeoutMs: number): Promise<LedgerWaitResult> {
		return this._groupOf(customer).waitClosed(customer, key, requestId, timeoutMs);
	}

	dispose(): void {
		this._store.dispose();
		this._onFenced.dispose();
	}

	private _groupOf(customer: string): EntryLedger {
		return this._groups[hashString(customer) % this._groups.length]!;
	}
}
