import {type AttemptUsage} from '../ledger/ledger-record.js';
import {executionStatus, type ExecutionStatus} from './execution-status.js';

/** Records the attempts of one request, for its bill and for the error sent to the caller. */
export class AttemptLog {
	private readonly _attempts: AttemptUsage[] = [];
	private _started = 0;
	private _ran: ExecutionStatus = executionStatus.no;

	constructor(private readonly _requestId: string) {}

	/** Attempts that have ended. */
	get attempts(): readonly AttemptUsage[] {
		return this._attempts;
	}

	/** Total cost of the attempts that have ended. */
	get cost(): number {
		return this._attempts.reduce((sum, {cost}) => sum + cost, 0);
	}

	/** Total tokens of the attempts that have ended, prompt and answer together. */
	get tokens(): number {
		return this._attempts.reduce((sum, {inputTokens, outputTokens}) => sum + inputTokens + outputTokens, 0);
	}

	/** Whether the request ran, based on the attempts that have ended. */
	get ran(): ExecutionStatus {
		return this._ran;
	}

	/** Returns the id of the next attempt. Attempts are numbered when they start, because they may run concurrently. */
	nextId(): string {
		return `${this._requestId}.${this._started++}`;
	}

	/** Adds an attempt that has ended, and whether it ran at the backend server. */
	add(attempt: AttemptUsage, status: ExecutionStatus): void {
		this._attempts.push(attempt);
		// `yes` is final. `unknown` replaces `no`, because the request may have run.
		if (status === executionStatus.yes || this._ran === executionStatus.no) {
			this._ran = status;
		}
	}

	/** Marks an attempt whose answer was discarded in favor of the next step. */
	markEscalated(attemptId: string): void {
		const index = this._attempts.findIndex(attempt => attempt.attemptId === attemptId);
		if (index !== -1) {
			this._attempts[index] = {...this._attempts[index]!, outcome: 'escalated'};
		}
	}
}
