import {AppError} from '../common/base/app-error.js';

/** A trace file is malformed. */
export class TraceError extends AppError {
	readonly code = 'trace-malformed' as const;
}
