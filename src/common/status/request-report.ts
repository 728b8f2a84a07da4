import {type Bill} from '../ledger/ledger.js';

/** Report on one request, for operators. */
export interface RequestReport<Explanation = unknown> {
	readonly requestId: string;
	/** Absent when the request has no bill among the last 1,000. */
	readonly bill?: Bill;
	/** Entry host that handled the request. */
	readonly entry?: string;
	/** Plan that the entry host recorded. */
	readonly explanation?: Explanation;
	/** Reason for a missing plan, in one sentence. */
	readonly missing?: string;
}
