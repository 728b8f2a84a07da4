import {AppError} from '../base/app-error.js';

/** The routing configuration is invalid; no part of it is applied. */
export class RoutingConfigError extends AppError {
	readonly code = 'invalid-routing' as const;
}
