import {type FailedAttempt} from './retry-decision.js';
import {type EngineError} from './engine-error.js';
import {executionStatus} from './execution-status.js';

/** Returns the properties of a failed attempt that determine whether it ran. */
export function failureDetails(error: EngineError, firstToken: boolean): Pick<FailedAttempt, 'written' | 'reply' | 'firstToken'> {
	const isRefused = error.ran === executionStatus.no && error.code === 'refused';
	const reply = isRefused ? 'refused' : (error.ran === executionStatus.yes ? 'failed' : 'none');
	return {written: error.ran !== executionStatus.no || isRefused, reply, firstToken};
}
