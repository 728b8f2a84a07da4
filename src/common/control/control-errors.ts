import {AppError} from '../base/app-error.js';

/** No leader answered in time; a proposed command may or may not have been committed. */
export class ControlUnavailableError extends AppError {
	readonly code = 'control-unavailable' as const;
}

/** Only the leader itself may propose the command. */
export class CommandNotAllowedError extends AppError {
	readonly code = 'command-not-allowed' as const;
}
