import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {sleep} from '../base/sleep.js';
import {type EntryLedger, type RecordOptions} from './entry-ledger.js';
import {LeaderCaller, type LeaderCallerServices} from './leader-caller.js';
import {
	type CloseResult, type OpenResult, type PinResult,
} from './ledger.js';
import {checkRecord, encodeBatch} from './ledger-codec.js';
import {LedgerFencedError, LedgerUnavailableError, LedgerUnknownError} from './ledger-errors.js';
import {maxBatchRecords} from './ledger-limits.js';
import {ledgerMethods, type LedgerMethods, type LedgerWaitResult} from './ledger-methods.js';
import {
	type CloseRecord, type LedgerRecord, type OpenRecord, type PinRecord,
} from './ledger-record.js';
import {type EncodedResult, type LedgerReply} from './ledger-reply.js';
import {PendingRecord} from './pending-record.js';

/** Options of a `LedgerClient`. Times are in milliseconds. */
export interface LedgerClientOptions {
	/** Name of this entry host. */
	readonly entry: string;
	/** Start time of this process in Unix milliseconds. */
	readonly incarnation: number;
	readonly group?: number;
	/** Timeout of a record for which none is given. Longer than the 3 s within which a new leader is elected. */
	readonly timeoutMs?: number;
	/** Queue length from which opens and pins are refused. Closes are always accepted; there is one for each open. */
	readonly maxQueued?: number;
	/** Maximum time for which a record with `mayLinger` is delayed to share a batch with later ones; 0 by default. */
	readonly lingerMs?: number;
}

const defaultTimeoutMs = 5000;
/** Number of records in two seconds at an entry host with ten times its share of the target load. */
const defaultMaxQueued = 1000;
/**
Total length of recorded answers, in UTF-16 units, above which no further record is added to a batch. Keeps a batch with
many answers well below a second on a slow link.
*/
const maxBatchAnswerLength = 262_144;
/** Maximum wait for a close in one call, in milliseconds. */
const maxWaitCallMs = 5000;
/** Time in milliseconds added to the timeout of a wait call for its reply. */
const waitReplyMarginMs = 1000;
/** Delay in milliseconds between two wait calls. */
const waitRetryDelayMs = 100;

/**
Sends the records of one entry host incarnation to one ledger group. At most one batch is in flight; records submitted
meanwhile form the next batch. A batch is resent unchanged, to any voter, until its outcome is known.

A record that is still queued at its deadline is removed from the queue and rejected with `LedgerUnavailableError`: it
will never be stored. A record that was already sent may still be stored at any later time, so it is rejected with
`LedgerUnknownError`, and the client continues to send its batch.
*/
export class LedgerClient implements EntryLedger, Disposable {
	private readonly _methods: LedgerMethods;
	private readonly _caller: LeaderCaller;
	private readonly _queryCaller: LeaderCaller;
	private readonly _abortController = new AbortController();
	private readonly _onFenced = new Emitter<void>();
	private readonly _queue: PendingRecord[] = [];
	private _inFlight: readonly PendingRecord[] = [];
	private _sequence = 0;
	private _isFenced = false;
	private _isScheduled = false;
	private _lingerTimer: Disposable | undefined;

	constructor(private readonly _services: LeaderCallerServices, private readonly _options: LedgerClientOptions) {
		this._methods = ledgerMethods(_options.group ?? 0);
		this._caller = new LeaderCaller(_services);
		this._queryCaller = new LeaderCaller(_services);
	}

	/** Fires once when the ledger accepts no more batches of this incarnation: all running answers must end as broken. */
	get onFenced(): Event<void> {
		return this._onFenced.event;
	}

	get isFenced(): boolean {
		return this._isFenced;
	}

	/** Number of records without an outcome, both queued and in flight. */
	get pending(): number {
		return this._queue.length + this._inFlight.length;
	}

	isOverloaded(): boolean {
		return this._queue.length >= (this._options.maxQueued ?? defaultMaxQueued);
	}

	async open(record: OpenRecord, options?: RecordOptions): Promise<OpenResult> {
		const result = await this._submit(record, options);
		if (typeof result === 'object') {
			if ('b' in result) {
				return {status: 'recorded', bill: result.b};
			}

			if ('r' in result) {
				return {status: 'running', requestId: result.r};
			}

			if ('p' in result) {
				return {status: 'opened', pin: result.p};
			}
		}

		return {status: result === 3 ? 'key-reused' : 'opened'};
	}

	async close(record: CloseRecord, options?: RecordOptions): Promise<CloseResult> {
		return {status: await this._submit(record, options) === 1 ? 'closed' : 'already-closed'};
	}

	async pin(record: PinRecord, options?: RecordOptions): Promise<PinResult> {
		const result = await this._submit(record, options);
		return {ref: (result as {v: string}).v};
	}

	async waitClosed(customer: string, key: string, requestId: string, timeoutMs: number): Promise<LedgerWaitResult> {
		const {clock} = this._services;
		const end = clock.now() + timeoutMs;
		const abort = new AbortController();
		const signal = AbortSignal.any([abort.signal, this._abortController.signal]);
		const timer = clock.setTimer(timeoutMs, () => {
			abort.abort();
		});
		try {
			for (let remainingMs = timeoutMs; remainingMs > 0 && !signal.aborted; remainingMs = end - clock.now()) {
				const params = {
					customer, key, requestId, timeoutMs: Math.min(remainingMs, maxWaitCallMs),
				};
				// eslint-disable-next-line no-await-in-loop -- short waits in sequence, so that the loss of a leader is noticed
				const result = await this._queryCaller.call(this._methods.wait, params, signal, params.timeoutMs + waitReplyMarginMs);
				if (result && result.status !== 'running') {
					return result;
				}

				// A leader with too many waits answers at once, so a delay is needed.
				// eslint-disable-next-line no-await-in-loop -- delay between waits
				await sleep(clock, waitRetryDelayMs, signal);
			}
		} finally {
			timer.dispose();
		}

		return {status: 'running'};
	}

	/** Stops without sending the queued records and rejects all records without an outcome. */
	dispose(): void {
		this._abortController.abort();
		this._lingerTimer?.dispose();
		this._rejectAll(({isSent}) => isSent ? new LedgerUnknownError('stopped before the outcome was known') : new LedgerUnavailableError('stopped before the record was sent'));
		this._onFenced.dispose();
	}

	private async _submit(record: LedgerRecord, options: RecordOptions = {}): Promise<Exclude<EncodedResult, {x: string}>> {
		this._checkAccepts(record);
		const result = await new Promise<EncodedResult>((resolve, reject) => {
			const pending = new PendingRecord(record, resolve, reject);
			const timeoutMs = options.timeoutMs ?? this._options.timeoutMs ?? defaultTimeoutMs;
			if (timeoutMs !== Number.POSITIVE_INFINITY) {
				pending.setDeadline(this._services.clock.setTimer(timeoutMs, () => {
					this._expire(pending);
				}));
			}

			this._queue.push(pending);
			this._schedule(options.mayLinger ? (this._options.lingerMs ?? 0) : 0);
		});
		if (typeof result === 'object' && 'x' in result) {
			throw new LedgerUnavailableError(`the ledger has reached its limit of ${result.x}`);
		}

		return result;
	}

	private _checkAccepts(record: LedgerRecord): void {
		if (this._isFenced) {
			throw new LedgerFencedError('this incarnation has been fenced');
		}

		if (this._abortController.signal.aborted) {
			throw new LedgerUnavailableError('the ledger client was stopped');
		}

		checkRecord(record);
		if (record.type !== 'close' && this.isOverloaded()) {
			this._services.counters.increment('ledger.queue_full');
			throw new LedgerUnavailableError('the queue of the ledger client is full');
		}
	}

	private _expire(pending: PendingRecord): void {
		if (pending.isSent) {
			pending.reject(new LedgerUnknownError(`${pending.record.type}: the outcome was not known at the deadline`));
			return;
		}

		this._queue.splice(this._queue.indexOf(pending), 1);
		pending.reject(new LedgerUnavailableError(`${pending.record.type}: not sent before the deadline`));
	}

	/** Starts sending after the linger time, or without one in the next microtask, so that records submitted together share a batch. */
	private _schedule(lingerMs: number): void {
		if (this._inFlight.length > 0 || this._isScheduled) {
			return;
		}

		if (lingerMs > 0) {
			this._lingerTimer ??= this._services.clock.setTimer(lingerMs, () => {
				this._schedule(0);
			});
			return;
		}

		this._isScheduled = true;
		this._lingerTimer?.dispose();
		this._lingerTimer = undefined;
		void this._sendBatches();
	}

	private async _sendBatches(): Promise<void> {
		await Promise.resolve();
		this._isScheduled = false;
		while (this._queue.length > 0 && !this._isFenced && !this._abortController.signal.aborted) {
			const pending = this._takeBatch();
			this._inFlight = pending;
			const {entry, incarnation} = this._options;
			const batch = encodeBatch({
				entry, incarnation, sequence: this._sequence + 1, records: pending.map(({record}) => record),
			});
			// eslint-disable-next-line no-await-in-loop -- at most one batch in flight
			const reply = await this._caller.call(this._methods.append, batch, this._abortController.signal);
			if (reply) {
				this._settle(pending, reply);
			}

			this._inFlight = [];
		}
	}

	private _takeBatch(): PendingRecord[] {
		let count = 0;
		let answerLength = 0;
		while (count < this._queue.length && count < maxBatchRecords && answerLength <= maxBatchAnswerLength) {
			const pending = this._queue[count++]!;
			pending.isSent = true;
			answerLength += pending.record.type === 'close' ? (pending.record.answer?.length ?? 0) : 0;
		}

		return this._queue.splice(0, count);
	}

	private _settle(pending: readonly PendingRecord[], reply: LedgerReply): void {
		if ('applied' in reply) {
			this._sequence++;
			for (const [index, item] of pending.entries()) {
				item.resolve(reply.applied[index]!);
			}

			return;
		}

		if ('refused' in reply && reply.refused === 'malformed') {
			// The next batch reuses the sequence number. Each record was checked before, so this can only be a bug in the codec.
			this._services.counters.increment('ledger.malformed_batches');
			for (const item of pending) {
				item.reject(new LedgerUnavailableError('the ledger cannot decode the batch'));
			}

			return;
		}

		// After a gap or a stale sequence number the ledger and this process disagree on what was stored, so this incarnation
		// cannot continue; only a new one can.
		this._handleFence();
	}

	private _handleFence(): void {
		this._isFenced = true;
		this._rejectAll(() => new LedgerFencedError('this incarnation has been fenced'));
		this._onFenced.fire();
	}

	private _rejectAll(createError: (item: PendingRecord) => Error): void {
		for (const item of [...this._inFlight, ...this._queue.splice(0)]) {
			item.reject(createError(item));
		}
	}
}
