import {type CloseRecord, type OpenRecord, type PinRecord} from '../common/ledger/ledger-record.js';

/** Creates an open record with default fields. */
export function openRecord(requestId: string, fields: Partial<OpenRecord> = {}): OpenRecord {
	return {
		type: 'open', requestId, customer: 'pulso', service: 'summaries', idempotent: true, ...fields,
	};
}

/** Creates a close record of an answered request with one attempt. */
export function closeRecord(requestId: string, fields: Partial<CloseRecord> = {}): CloseRecord {
	return {
		type: 'close', requestId, outcome: 'answered', ref: 'small@1', cost: 0.25, at: 1_800_000_000_000,
		attempts: [{
			attemptId: `${requestId}.1`, ref: 'small@1', server: 'b1', inputTokens: 10, outputTokens: 20, cost: 0.25, outcome: 'answered',
		}],
		...fields,
	};
}

/** Creates a record of the first pin of a session. */
export function pinRecord(session: string, ref: string, fields: Partial<PinRecord> = {}): PinRecord {
	return {
		type: 'pin', customer: 'pulso', service: 'summaries', session, ref, at: 1_800_000_000_000, ...fields,
	};
}
