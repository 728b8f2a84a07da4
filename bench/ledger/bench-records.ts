import {
	type CloseRecord, type LedgerRecord, type OpenRecord, type PinRecord,
} from '../../src/common/ledger/ledger-record.js';
import {RequestIds} from '../../src/common/ledger/request-ids.js';

/** Start time of the entry host process in Unix milliseconds. */
export const incarnation = 1_800_000_000_123;
/** Time of the records in Unix milliseconds. */
export const recordTime = 1_800_043_200_000;

/** Kinds of requests that differ in their records. */
export const requestKinds = ['plain', 'escalated', 'keyed', 'keyed, 1 KiB answer', 'non-idempotent', 'session', 'first of a session'] as const;
export type RequestKind = typeof requestKinds[number];

type RequestRecords = {pin?: PinRecord; open: OpenRecord; close: CloseRecord};

/** Creates the records of requests as an entry host does, with names of realistic length. */
export class RecordFactory {
	private readonly _ids: RequestIds;
	private _count = 0;

	constructor(private readonly _entry: string) {
		this._ids = new RequestIds(_entry, incarnation);
	}

	createRequest(kind: RequestKind): RequestRecords {
		const number = this._count++;
		const requestId = this._ids.next();
		const customer = `customer-${number % 10}`;
		const service = 'chiller-summaries';
		const session = kind.includes('session') ? `9f8b2c1e-${String(number).padStart(8, '0')}-4d` : undefined;
		const key = kind.startsWith('keyed') ? `${this._entry}-note-2027-01-15-${String(number).padStart(7, '0')}` : undefined;
		const ref = 'summary-small@2027-01-12';
		const attempts = [this._createAttempt(`${requestId}.1`, ref, number)];
		if (kind === 'escalated') {
			attempts.unshift({...this._createAttempt(`${requestId}.0`, 'summary-tiny@2027-01-02', number), outcome: 'escalated'});
		}

		return {
			pin: kind === 'first of a session'
				? {
					type: 'pin', customer, service, session: session!, ref, at: recordTime,
				}
				: undefined,
			open: {
				type: 'open', requestId, customer, service, session, key, bodyHash: key && '8f14e45fceea167a', idempotent: kind !== 'non-idempotent',
			},
			close: {
				type: 'close', requestId, outcome: 'answered', ref, cost: 0.001_234, attempts, at: recordTime + 5,
				answer: kind.endsWith('answer') ? 'x'.repeat(1024) : undefined,
			},
		};
	}

	private _createAttempt(attemptId: string, ref: string, number: number): CloseRecord['attempts'][number] {
		return {
			attemptId, ref, server: `engine-${number % 690}`, inputTokens: 800 + (number % 700), outputTokens: 300 + (number % 200), cost: 0.001_234, outcome: 'answered',
		};
	}
}

/** Records of a request in the order in which they are sent. */
export function toRecords({pin, open, close}: RequestRecords): LedgerRecord[] {
	return pin ? [pin, open, close] : [open, close];
}
