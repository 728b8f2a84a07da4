import {requestIdPrefix} from './ledger-codec.js';

/** Generates the request ids of one entry host incarnation: unique in the whole system, and stored short in the log. */
export class RequestIds {
	private _count = 0;
	private readonly _prefix: string;

	constructor(entry: string, incarnation: number) {
		this._prefix = requestIdPrefix(entry, incarnation);
	}

	next(): string {
		this._count++;
		return this._prefix + this._count.toString(36);
	}
}
