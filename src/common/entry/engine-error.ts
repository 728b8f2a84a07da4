import {AppError} from '../base/app-error.js';
import {type ExecutionStatus} from './execution-status.js';

/** Error of a failed attempt at an engine. */
export class EngineError extends AppError {
	/** `ran` tells whether the engine ran the attempt; it is `no` only when no byte was written or the engine refused. */
	constructor(
		readonly code: 'unreachable' | 'refused' | 'broken' | 'engine-failed' | 'attempt-mismatch' | 'cancelled' | 'zone-evacuated',
		message: string,
		readonly ran: ExecutionStatus,
		options?: {cause?: unknown},
	) {
		super(message, options);
	}
}
