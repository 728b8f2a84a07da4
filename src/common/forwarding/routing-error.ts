import {AppError} from '../base/app-error.js';

/** A field of a routing configuration and what is wrong with it. */
export interface RoutingIssue {
	/** Path in `RoutingConfig`. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
}

/** The routing configuration is invalid; no part of it is applied. */
export class RoutingConfigError extends AppError {
	readonly code = 'invalid-routing' as const;

	/** `issues` are all violations of a configuration that could be decoded. */
	constructor(message: string, options?: {cause?: unknown}, readonly issues: readonly RoutingIssue[] = []) {
		super(message, options);
	}
}
