import {type Disposable} from '../base/disposable.js';
import {type LedgerRecord} from './ledger-record.js';
import {type EncodedResult} from './ledger-reply.js';

/** Submitted record whose outcome is not known yet. */
export class PendingRecord {
	/** Whether the record is part of a batch that was sent, so that it may be stored. */
	isSent = false;
	private _timer: Disposable | undefined;
	private _isSettled = false;
	private readonly _resolve: (result: EncodedResult) => void;
	private readonly _reject: (error: Error) => void;

	constructor(readonly record: LedgerRecord, resolve: (result: EncodedResult) => void, reject: (error: Error) => void) {
		this._resolve = resolve;
		this._reject = reject;
	}

	/** Whether the caller's promise is settled, for example because the deadline passed. */
	get isSettled(): boolean {
		return this._isSettled;
	}

	/** Sets the deadline timer, which is disposed when the record is settled. */
	setDeadline(timer: Disposable): void {
		this._timer = timer;
	}

	resolve(result: EncodedResult): void {
		if (this._settle()) {
			this._resolve(result);
		}
	}

	reject(error: Error): void {
		if (this._settle()) {
			this._reject(error);
		}
	}

	private _settle(): boolean {
		if (this._isSettled) {
			return false;
		}

		this._isSettled = true;
		this._timer?.dispose();
		return true;
	}
}
