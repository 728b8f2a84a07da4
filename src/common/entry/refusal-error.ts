import {AppError} from '../base/app-error.js';
import {type ExecutionStatus, executionStatus} from './execution-status.js';

/** Details of a refusal. */
export interface RefusalOptions {
	/** HTTP status. */
	readonly status: number;
	/** Whether the request ran; `no` when absent. */
	readonly ran?: ExecutionStatus;
	/** Name of the invalid parameter. */
	readonly param?: string;
	readonly retryAfterSeconds?: number;
	readonly cause?: unknown;
}

/** Error that is sent to the caller of a request that gets no complete answer. */
export class RefusalError extends AppError {
	readonly status: number;
	readonly ran: ExecutionStatus;
	readonly param: string | undefined;
	readonly retryAfterSeconds: number | undefined;

	/** `code` is stable; `message` is one human-readable sentence. */
	constructor(readonly code: string, message: string, options: RefusalOptions) {
		super(message, {cause: options.cause});
		this.status = options.status;
		this.ran = options.ran ?? executionStatus.no;
		this.param = options.param;
		this.retryAfterSeconds = options.retryAfterSeconds;
	}
}
