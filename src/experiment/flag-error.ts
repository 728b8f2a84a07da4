import {AppError} from '../common/base/app-error.js';

/** The command line is invalid. */
export class FlagError extends AppError {
	readonly code = 'flags-wrong' as const;
}
