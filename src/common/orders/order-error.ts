import {AppError} from '../base/app-error.js';

/** An engine did not accept an order. */
export class OrderError extends AppError {
	readonly code = 'order-failed' as const;
}
