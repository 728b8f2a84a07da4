import {AppError} from '../base/app-error.js';

/** A routing configuration is invalid; nothing of it is applied. */
export class RoutingConfigError extends AppError {
	readonly code = 'invalid-routing' as const;
}
