import {AppError} from '../base/app-error.js';

/** The request was refused because of a limit or overload; it did not run. */
export class OverloadedError extends AppError {
	/** `retryAfterSeconds` tells the caller when to retry. */
	constructor(readonly code: 'limit-exceeded' | 'overloaded' | 'deadline-unreachable', message: string, readonly retryAfterSeconds: number) {
		super(message);
	}
}
