import {EngineError} from './engine-error.js';
import {executionStatus} from './execution-status.js';

/** @throws EngineError when the request is already aborted, so that it is not sent. */
export function throwIfCancelled(signal: AbortSignal): void {
	if (signal.aborted) {
		throw new EngineError('cancelled', 'the request ended before it was sent', executionStatus.no);
	}
}
