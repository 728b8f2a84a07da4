import fc from 'fast-check';
import {expect, it} from 'vitest';
import {
	decideAfterFailure, type AttemptAction, type FailedAttempt, type RetryConditions,
} from './retry-decision.js';
import {type ExecutionStatus} from './execution-status.js';

const conditions: RetryConditions = {hasTime: true, hasBudget: true, hasServer: true};
const failedAttempt = (flags: string): FailedAttempt => ({
	idempotent: flags.includes('i'),
	written: /[wrftd]/v.test(flags),
	reply: flags.includes('r') ? 'refused' : (flags.includes('f') ? 'failed' : 'none'),
	firstToken: /[td]/v.test(flags),
	delivered: flags.includes('d'),
	resumable: flags.includes('s'),
});

// Guards against running a non-idempotent request twice, against a wrong execution status `no`, and against failing a request that could be retried.
// Flags: i idempotent, w written, r refused by the backend server, f failed at the backend server, t first token received, d delivered to the caller, s resumable.
it.each<[string, AttemptAction, ExecutionStatus]>([
	['', 'retry', 'no'],
	['r', 'retry', 'no'],
	['w', 'unknown', 'unknown'],
	['ws', 'unknown', 'unknown'],
	['f', 'error', 'yes'],
	['t', 'unknown', 'yes'],
	['ds', 'unknown', 'yes'],
	['i', 'retry', 'no'],
	['ir', 'retry', 'no'],
	['iw', 'retry', 'unknown'],
	['if', 'retry', 'yes'],
	['it', 'retry', 'yes'],
	['its', 'resume', 'yes'],
	['id', 'error', 'yes'],
	['ids', 'resume', 'yes'],
	['idfs', 'error', 'yes'],
])('after an attempt with flags "%s": %s, ran %s', (flags, action, ran) => {
	expect(decideAfterFailure(failedAttempt(flags), conditions)).toEqual({action, ran});
});

// Guards against retries without time, budget or server, and against a combination of inputs that breaks a rule.
it('keeps its rules for all inputs', () => {
	const flag = fc.boolean();
	const anyAttempt = fc.record({
		idempotent: flag, written: flag, reply: fc.constantFrom<FailedAttempt['reply']>('none', 'refused', 'failed'), firstToken: flag, delivered: flag, resumable: flag,
	});
	fc.assert(fc.property(anyAttempt, fc.record({hasTime: flag, hasBudget: flag, hasServer: flag}), (attempt, given) => {
		const {action, ran} = decideAfterFailure(attempt, given);
		const isRetried = action === 'retry' || action === 'resume';
		expect(isRetried && !(given.hasTime && given.hasBudget && given.hasServer)).toBe(false);
		expect(isRetried && !attempt.idempotent && ran !== 'no').toBe(false);
		expect(action === 'retry' && attempt.delivered).toBe(false);
		expect(action === 'unknown' && attempt.idempotent).toBe(false);
		expect(ran === 'no' && attempt.written && attempt.reply !== 'refused').toBe(false);
	}), {seed: 31, numRuns: 500});
});
