import {type Bill} from './ledger.js';
import {type RequestOutcome} from './ledger-record.js';

/** Idempotency key of a closed request, with the data needed to answer a resend. */
export interface ClosedKey {
	readonly requestId: string;
	readonly bodyHash: string;
	/** Without session, attempts and answer. */
	readonly bill: Bill;
	/** Time of the close in the ledger. */
	readonly closedAt: number;
}

type Packed = [requestId: string, bodyHash: string, service: string, entry: string, outcome: RequestOutcome, ref: string, cost: number, at: number, closedAt: number];

/** Packs a closed key into one flat string. */
export function packKey(bill: Bill, bodyHash: string, closedAt: number): string {
	const packed: Packed = [bill.requestId, bodyHash, bill.service, bill.entry, bill.outcome, bill.ref ?? '', bill.cost, bill.at, closedAt];
	return JSON.stringify(packed);
}

/** Unpacks a closed key of the customer. */
export function unpackKey(text: string, customer: string): ClosedKey {
	const [requestId, bodyHash, service, entry, outcome, ref, cost, at, closedAt] = JSON.parse(text) as Packed;
	return {
		requestId, bodyHash, closedAt, bill: {
			requestId, customer, service, entry, outcome, ref: ref === '' ? undefined : ref, cost, attempts: [], at,
		},
	};
}
