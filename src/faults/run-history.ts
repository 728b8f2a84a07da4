import {type VersionRef} from '../common/documents/version-ref.js';

/** One execution of a request at a backend server. */
export interface ServerRun {
	readonly attemptId: string;
	readonly requestId: string;
	readonly operation: string;
	readonly ref: VersionRef | undefined;
	readonly at: number;
}

/** One try of an operation, as its caller observed it. */
export interface CallerTry {
	readonly operation: string;
	readonly requestId: string | undefined;
	readonly host: string;
	readonly idempotent: boolean;
	readonly session: string | undefined;
	readonly at: number;
	/** `answered`: complete answer; `broken`: connection broken or no reply; otherwise the code of the refusal. */
	outcome: string;
	/** Whether the request ran, according to the refusal. */
	ran: string | undefined;
	ref: VersionRef | undefined;
	text: string;
	finishedAt: number;
}

/** A change that was accepted for an operator; `inForceAt` is set when the operator saw it in force. */
export interface OperatorChange {
	readonly kind: 'submit' | 'withdraw';
	readonly ref: VersionRef | undefined;
	readonly revision: number;
	readonly acceptedAt: number;
	inForceAt: number | undefined;
}

/** Observations of callers, operators and backend servers in a run. */
export class RunHistory {
	readonly runs: ServerRun[] = [];
	readonly tries: CallerTry[] = [];
	readonly changes: OperatorChange[] = [];
	/** Revisions in the order in which each process applied them, by host and start number. */
	readonly revisions = new Map<string, number[]>();
	/** Injected faults, for the report of a violation. */
	readonly faults: string[] = [];
}
