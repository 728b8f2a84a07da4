import {AppError} from '../base/app-error.js';

/** A roll-out was refused because another one of the service is in progress. */
export class RolloutActiveError extends AppError {
	readonly code = 'rollout-active' as const;
}
