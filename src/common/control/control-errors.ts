import {AppError} from '../base/app-error.js';

/** No leader answered in time; a proposed command may or may not have been committed. */
export class ControlUnavailableError extends AppError {
	readonly code = 'control-unavailable' as const;
}

/** Only the leader itself may propose the command. */
export class CommandNotAllowedError extends AppError {
	readonly code = 'command-not-allowed' as const;
}

/** The caller has given up, so that nobody would receive the reply. */
export class CallerGoneError extends AppError {
	readonly code = 'caller-gone' as const;
}
