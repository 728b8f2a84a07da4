import {AppError} from '../common/base/app-error.js';
import {type ExitCode} from './exit-code.js';

/** Thrown when a command fails; carries the exit code and advice. */
export class CliError extends AppError {
	readonly code = 'cli' as const;

	/** `advice` is one sentence that tells the user what to do next. */
	constructor(readonly exitCode: ExitCode, message: string, readonly advice: string, options?: {cause?: unknown}) {
		super(message, options);
	}
}
