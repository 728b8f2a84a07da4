import {expect, it} from 'vitest';
import {
	expectedBody, eventsFrom, guarantee, SoakChecker, type CallerOutcome, type SoakGuarantee,
} from './soak-checker.js';

function outcome(changes: Partial<CallerOutcome> = {}): CallerOutcome {
	return {
		id: 'q', isRepeatable: false, status: 200, body: expectedBody('q', false), isSigned: true, isStream: false, isAtPlannedStop: false, isAfterFaults: true, ...changes,
	};
}

/** A checker that has recorded a valid configuration and the start of request `q`. */
function checkerWithRequest(): SoakChecker {
	const checker = new SoakChecker();
	checker.recordConfigKeys(['k', 'other']);
	checker.recordConfigAcknowledged(1, [], 0);
	checker.recordRequest('q', 'k', false, 1000);
	return checker;
}

// Guards against false violations.
it('reports no violation when all guarantees hold', () => {
	const checker = checkerWithRequest();
	checker.recordRun('a', 'q', 1010, true);
	checker.recordOutcome(outcome());
	checker.recordRequest('r', 'k', true, 1000);
	checker.recordRun('a', 'r', 1010, true);
	checker.recordRun('b', 'r', 1020, true);
	checker.recordOutcome(outcome({
		id: 'r', isRepeatable: true, isStream: true, body: expectedBody('r', true),
	}));
	checker.recordConfigRead(1, 9000);
	checker.finish(1);
	expect(checker.violations).toEqual([]);
});

// Guards against a checker that misses violations: each row plants one violation.
it.each<{planted: string; act: (checker: SoakChecker) => void; violated: SoakGuarantee}>([
	{
		planted: 'a second run of a request that must not be repeated', violated: guarantee.runsOnce, act(checker) {
			checker.recordRun('a', 'q', 1010, true);
			checker.recordRun('b', 'q', 1020, true);
		},
	},
	{
		planted: 'a refusal after a run', violated: guarantee.refusedIsNotRun, act(checker) {
			checker.recordRun('a', 'q', 1010, true);
			checker.recordOutcome(outcome({status: 503}));
		},
	},
	{
		planted: 'a run after a refusal', violated: guarantee.refusedIsNotRun, act(checker) {
			checker.recordOutcome(outcome({status: 503}));
			checker.recordRun('a', 'q', 1200, true);
		},
	},
	{
		planted: 'an answer to another request', violated: guarantee.ownWholeAnswer, act(checker) {
			checker.recordOutcome(outcome({body: expectedBody('p', false)}));
		},
	},
	{
		planted: 'a truncated answer', violated: guarantee.ownWholeAnswer, act(checker) {
			checker.recordOutcome(outcome({body: expectedBody('q', false).slice(0, 4)}));
		},
	},
	{
		planted: 'a successful answer without a signature', violated: guarantee.ownWholeAnswer, act(checker) {
			checker.recordOutcome(outcome({isSigned: false}));
		},
	},
	{
		planted: 'a stream with a gap', violated: guarantee.eventsInOrder, act(checker) {
			checker.recordOutcome(outcome({isStream: true, body: expectedBody('q', true).replace('id: 3\ndata: q\n\n', '')}));
		},
	},
	{
		planted: 'a stream with a duplicate event', violated: guarantee.eventsInOrder, act(checker) {
			checker.recordOutcome(outcome({isStream: true, body: `id: 1\ndata: q\n\n${eventsFrom('q', 1)}`}));
		},
	},
	{
		planted: 'a run with a key that was removed', violated: guarantee.keysInForce, act(checker) {
			checker.recordConfigAcknowledged(2, ['k'], 2000);
			checker.recordRequest('r', 'k', true, 7100);
			checker.recordRun('a', 'r', 7110, true);
		},
	},
	{
		planted: 'a run with a key that was never valid', violated: guarantee.keysInForce, act(checker) {
			checker.recordRequest('r', 'forged', true, 1000);
			checker.recordRun('a', 'r', 1010, true);
		},
	},
	{
		planted: 'a read of an older configuration', violated: guarantee.configurationKept, act(checker) {
			checker.recordConfigAcknowledged(2, [], 2000);
			checker.recordConfigRead(1, 4600);
		},
	},
	{
		planted: 'the loss of an acknowledged configuration', violated: guarantee.configurationKept, act(checker) {
			checker.recordConfigAcknowledged(2, [], 2000);
			checker.finish(1);
		},
	},
	{
		planted: 'a request to a draining engine', violated: guarantee.drained, act(checker) {
			checker.recordDrainAcknowledged('a', 1000);
			checker.recordRun('a', 'q', 3600, true);
		},
	},
	{
		planted: 'a request interrupted by a planned stop', violated: guarantee.answeredAtStop, act(checker) {
			checker.recordOutcome(outcome({status: undefined, isAtPlannedStop: true}));
		},
	},
	{
		planted: 'requests that still fail after the faults', violated: guarantee.recovers, act(checker) {
			checker.recordOutcome(outcome({status: 502}));
			checker.finish(1);
		},
	},
])('reports $planted', ({act, violated}) => {
	const checker = checkerWithRequest();
	act(checker);
	expect(checker.violations.map(text => text.split(':')[0])).toContain(violated);
});
