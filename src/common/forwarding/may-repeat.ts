import {repetition, type Route} from './routing-config.js';

/** Whether a request of the route may run more than once. */
export function mayRepeat({repetition: kind, isResumable}: Route): boolean {
	return kind === repetition.idempotent || (kind === repetition.stream && isResumable);
}
