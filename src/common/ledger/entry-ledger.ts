import {type Event} from '../base/event.js';
import {type RequestWaiter} from './request-waiter.js';
import {
	type CloseResult, type Ledger, type OpenResult, type PinResult,
} from './ledger.js';
import {type CloseRecord, type OpenRecord, type PinRecord} from './ledger-record.js';

/** Options of a submitted record. */
export interface RecordOptions {
	/** Timeout of the caller in milliseconds; `Infinity` for a record that is stored in the background. */
	readonly timeoutMs?: number;
	/** Whether the record may be delayed to share a batch with later records. */
	readonly mayLinger?: boolean;
}

/**
The ledger as the requests of an entry host use it. Records of one customer are applied in the order of the calls, so
a close may be submitted before the result of its open is known.

@throws LedgerUnknownError when the record was sent and its outcome was not known at the deadline.
*/
export interface EntryLedger extends Ledger, RequestWaiter {
	/** Fires once when the ledger accepts no more batches of this incarnation: all running answers must end as broken. */
	readonly onFenced: Event<void>;
	readonly isFenced: boolean;
	/** Whether an open of the customer would be refused because too many records are queued. */
	isOverloaded(customer: string): boolean;
	open(record: OpenRecord, options?: RecordOptions): Promise<OpenResult>;
	close(record: CloseRecord, options?: RecordOptions): Promise<CloseResult>;
	pin(record: PinRecord, options?: RecordOptions): Promise<PinResult>;
}
