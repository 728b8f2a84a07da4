import {AppError} from '../base/app-error.js';

/** The caller aborted the request before it was admitted; it did not run. */
export class AdmissionAbortedError extends AppError {
	readonly code = 'aborted' as const;
}
