import {type Clock} from '../base/clock.js';
import {type Event} from '../base/event.js';
import {Emitter} from '../base/emitter.js';
import {type VersionRef} from '../documents/version-ref.js';
import {BilledRequest} from './billed-request.js';
import {type EntryLedger} from './entry-ledger.js';
import {type Bill, type OpenResult} from './ledger.js';
import {checkRecord} from './ledger-codec.js';
import {LedgerUnavailableError, LedgerUnknownError} from './ledger-errors.js';
import {type CloseRecord, type OpenRecord, type SessionKey} from './ledger-record.js';

/** Result of beginning a request. */
export type BeginResult =
	/** The request may run. */
	| {readonly status: 'run'; readonly request: BilledRequest}
	/** The request that owns the key was answered; send its recorded answer. */
	| {readonly status: 'replay'; readonly bill: Bill; readonly answer: string}
	/** The request that owns the key is closed and has no recorded answer; tell the caller whether it ran. */
	| {readonly status: 'settled'; readonly bill: Bill; readonly ran: 'yes' | 'unknown'}
	/** The request that owns the key is still running at the end of the wait. */
	| {readonly status: 'running'; readonly requestId: string}
	/** The key was used with another body (HTTP 422). */
	| {readonly status: 'key-reused'};

/** Options of a `RequestLedger`: timeouts in milliseconds. */
export interface RequestLedgerOptions {
	/** Timeout of the open of a request that must not run before its open is durable. */
	readonly beginTimeoutMs: number;
	/** Timeout of the close. */
	readonly finishTimeoutMs: number;
	/** Timeout of the wait for a running request with the same key. */
	readonly waitTimeoutMs: number;
}

/** A new leader is elected within 3 s, so 5 s outlast an election. A caller waits at most 30 s for another request. */
export const defaultRequestLedgerOptions: RequestLedgerOptions = {beginTimeoutMs: 5000, finishTimeoutMs: 5000, waitTimeoutMs: 30_000};

/** New version of a session whose pin was replaced, for example by another entry host. */
export interface ReplacedPin {
	readonly session: SessionKey;
	readonly ref: VersionRef;
}

/**
Ensures the order of the ledger steps of a request:

1. `begin`. An idempotent request without a key runs at once, while its open is in flight. For all others the open must
   be durable first: a non-idempotent request could run twice, and a request with a key may have run already.
2. `BilledRequest.startAttempt` before the first byte of each attempt is written.
3. `BilledRequest.finish` before the end of the answer is sent, or `abandon` when the caller no longer waits for it.

When `begin` throws, nothing was dispatched, so the caller can be told `ran: no`.
*/
export class RequestLedger {
	private readonly _onPinReplaced = new Emitter<ReplacedPin>();

	constructor(private readonly _ledger: EntryLedger, private readonly _clock: Clock, private readonly _options = defaultRequestLedgerOptions) {}

	/** Fires when the result of an open contains a pin that was replaced since the session began. */
	get onPinReplaced(): Event<ReplacedPin> {
		return this._onPinReplaced.event;
	}

	/** @throws LedgerUnavailableError, LedgerUnknownError, LedgerFencedError or LedgerRecordError; then nothing was dispatched. */
	async begin(record: OpenRecord): Promise<BeginResult> {
		checkRecord(record);
		if (this._ledger.isOverloaded(record.customer)) {
			throw new LedgerUnavailableError('too many records wait for the ledger');
		}

		if (record.idempotent && record.key === undefined) {
			return this._run(record, this._openInBackground(record));
		}

		return this._beginAfterOpen(record);
	}

	private async _beginAfterOpen(record: OpenRecord): Promise<BeginResult> {
		const deadline = this._clock.now() + this._options.waitTimeoutMs;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- repeated only when the key was released
			const result = await this._open(record);
			switch (result.status) {
				case 'opened': {
					this._reportPin(record, result);
					return this._run(record, Promise.resolve());
				}

				case 'recorded': {
					return beginResultOf(result.bill);
				}

				case 'key-reused': {
					return {status: 'key-reused'};
				}

				case 'running': {
					// eslint-disable-next-line no-await-in-loop -- see above
					const outcome = await this._ledger.waitClosed(record.customer, record.key!, result.requestId, Math.max(0, deadline - this._clock.now()));
					if (outcome.status === 'closed') {
						return beginResultOf(outcome.bill);
					}

					if (outcome.status === 'running' || this._clock.now() >= deadline) {
						return {status: 'running', requestId: result.requestId};
					}
				}
			}
		}
	}

	private async _open(record: OpenRecord): Promise<OpenResult> {
		try {
			return await this._ledger.open(record, {timeoutMs: this._options.beginTimeoutMs});
		} catch (error) {
			if (error instanceof LedgerUnknownError) {
				// The open may still be stored. The close follows it in the same queue and frees the key.
				const close: CloseRecord = {
					type: 'close', requestId: record.requestId, outcome: 'cancelled', cost: 0, attempts: [], notRun: true, at: this._clock.wallTime(),
				};
				void Promise.allSettled([this._ledger.close(close, {timeoutMs: Number.POSITIVE_INFINITY})]);
			}

			throw error;
		}
	}

	/** The open has no timeout, because the timeout of `finish` limits how long it may take. */
	private async _openInBackground(record: OpenRecord): Promise<void> {
		const result = await this._ledger.open(record, {timeoutMs: Number.POSITIVE_INFINITY, mayLinger: true});
		if (result.status !== 'opened') {
			throw new LedgerUnavailableError(`the request id ${record.requestId} is in use`);
		}

		this._reportPin(record, result);
	}

	private _reportPin({customer, service, session}: OpenRecord, result: OpenResult): void {
		if (session !== undefined && result.status === 'opened' && result.pin !== undefined) {
			this._onPinReplaced.fire({session: {customer, service, session}, ref: result.pin});
		}
	}

	private _run(record: OpenRecord, opened: Promise<void>): BeginResult {
		const request = new BilledRequest({ledger: this._ledger, clock: this._clock, finishTimeoutMs: this._options.finishTimeoutMs}, record, opened);
		return {status: 'run', request};
	}
}

function beginResultOf(bill: Bill): BeginResult {
	if (bill.outcome === 'answered') {
		return bill.answer === undefined ? {status: 'settled', bill, ran: 'yes'} : {status: 'replay', bill, answer: bill.answer};
	}

	// A request that failed or was cancelled after its first byte may have run.
	return {status: 'settled', bill, ran: 'unknown'};
}
