import {type Clock} from '../base/clock.js';
import {type EntryLedger, type RecordOptions} from './entry-ledger.js';
import {isRecordValid} from './ledger-codec.js';
import {
	AttemptRefusedError, LedgerFencedError, LedgerRecordError, LedgerUnavailableError,
} from './ledger-errors.js';
import {type CloseRecord, type OpenRecord} from './ledger-record.js';

/** Result of a request, as recorded in its bill. */
export type RequestResult = Pick<CloseRecord, 'outcome' | 'ref' | 'cost' | 'attempts' | 'answer'>;

/** Permit for one attempt of a request. The attempt counts as written unless it is marked as not written. */
export interface AttemptPermit {
	/** Call only when certainly no byte of the request was written, or when the backend server refused to run it. */
	markNotWritten(): void;
}

/** Dependencies of a `BilledRequest`. */
export interface BilledRequestServices {
	readonly ledger: EntryLedger;
	readonly clock: Clock;
	/** Timeout of `finish` in milliseconds. */
	readonly finishTimeoutMs: number;
}

/**
A request that may run. Issues a permit for each attempt and makes the bill durable before the answer is completed.
Only `RequestLedger.begin` creates it.
*/
export class BilledRequest {
	/** Number of attempts that may have been written. */
	private _writtenAttempts = 0;
	private _isFinished = false;

	constructor(
		private readonly _services: BilledRequestServices,
		private readonly _record: OpenRecord,
		/** Resolves when the open is durable. After a rejection the answer must end as broken. */
		readonly opened: Promise<void>,
	) {
		// Prevents an unhandled rejection: `finish` reports the error, but may await `opened` only later.
		void Promise.allSettled([opened]);
	}

	get requestId(): string {
		return this._record.requestId;
	}

	/** Whether a backend server may have run the request. */
	get mayHaveRun(): boolean {
		return this._writtenAttempts > 0;
	}

	/**
	Call immediately before the first byte of an attempt is written.

	@throws AttemptRefusedError when the request is finished, or is not idempotent and may have run already.
	@throws LedgerFencedError when this incarnation of the entry host has been fenced.
	*/
	startAttempt(): AttemptPermit {
		if (this._services.ledger.isFenced) {
			throw new LedgerFencedError('this incarnation has been fenced');
		}

		if (this._isFinished || (this.mayHaveRun && !this._record.idempotent)) {
			throw new AttemptRefusedError(this._isFinished ? 'the request is finished' : 'the request is not idempotent and may have run');
		}

		this._writtenAttempts++;
		let isMarked = false;
		return {
			markNotWritten: () => {
				this._writtenAttempts -= isMarked ? 0 : 1;
				isMarked = true;
			},
		};
	}

	/**
	Makes the bill durable. The caller must send the end of the answer only after this resolves, and must end the answer
	as broken after a rejection.

	`mayLinger` lets the bill share a batch with later records. Use it only for long streams and low urgency: it saves
	most calls to the ledger, but delays the end of the answer by up to the linger time of the client.

	@throws LedgerUnavailableError, LedgerUnknownError, LedgerRecordError or LedgerFencedError; the request is then closed
	by this host in the background, or by the fence.
	*/
	async finish(result: RequestResult, {mayLinger = false}: Pick<RecordOptions, 'mayLinger'> = {}): Promise<void> {
		const record = this._createClose(result);
		try {
			// No need to await the open first: the close follows it in the same queue, often in the same batch.
			const {status} = await this._services.ledger.close(record, {timeoutMs: this._services.finishTimeoutMs, mayLinger});
			await this.opened;
			if (status === 'already-closed') {
				throw new LedgerFencedError('the request was already closed by a fence');
			}
		} catch (error) {
			if (error instanceof LedgerRecordError) {
				this._closeInBackground(createMinimalClose(record));
			} else if (error instanceof LedgerUnavailableError) {
				// With a key, the bill keeps the answer, so that a resend gets it and the request does not run again.
				// Without a key no caller can get the answer any more, so the request is recorded as failed.
				this._closeInBackground(this._record.key === undefined && record.outcome === 'answered' ? {...record, outcome: 'failed'} : record);
			}

			throw error;
		}
	}

	/** Closes a request whose caller no longer waits. The bill is made durable in the background. */
	abandon(result: RequestResult): void {
		const record = this._createClose(result);
		this._closeInBackground(isRecordValid(record) ? record : createMinimalClose(record));
	}

	private _createClose(result: RequestResult): CloseRecord {
		if (this._isFinished) {
			throw new AttemptRefusedError('the request is finished');
		}

		this._isFinished = true;
		const {requestId, key} = this._record;
		return {
			...result, type: 'close', requestId, at: this._services.clock.wallTime(),
			answer: key === undefined ? undefined : result.answer, notRun: this.mayHaveRun ? undefined : true,
		};
	}

	private _closeInBackground(record: CloseRecord): void {
		// Rejected only when the incarnation is fenced or stopped; then the fence closes the request.
		void Promise.allSettled([this._services.ledger.close(record, {timeoutMs: Number.POSITIVE_INFINITY, mayLinger: true})]);
	}
}

/**
Close for a request whose result the ledger refuses as malformed. The outcome is `failed`, because the caller gets no
complete answer.
*/
function createMinimalClose({type, requestId, at, cost, notRun}: CloseRecord): CloseRecord {
	return {
		type, requestId, at, notRun, outcome: 'failed', cost: Number.isFinite(cost) ? cost : 0, attempts: [],
	};
}
