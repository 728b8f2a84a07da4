import {expect, it} from 'vitest';
import {
	bodyOf, eventsOf, promise, SoakChecker, type CallerOutcome, type SoakPromise,
} from './soak-checker.js';

function outcome(changes: Partial<CallerOutcome> = {}): CallerOutcome {
	return {
		id: 'q', isRepeatable: false, status: 200, body: bodyOf('q', false), isSigned: true, isStream: false, isAtPlannedStop: false, isAfterFaults: true, ...changes,
	};
}

/** A world in which all goes well up to the end of request `q`. */
function world(): SoakChecker {
	const checker = new SoakChecker();
	checker.offered(['k', 'other']);
	checker.acknowledged(1, [], 0);
	checker.sent('q', 'k', false, 1000);
	return checker;
}

// Guards against a checker that reports what is allowed.
it('reports nothing where all promises are kept', () => {
	const checker = world();
	checker.ran('a', 'q', 1010, true);
	checker.ended(outcome());
	checker.sent('r', 'k', true, 1000);
	checker.ran('a', 'r', 1010, true);
	checker.ran('b', 'r', 1020, true);
	checker.ended(outcome({
		id: 'r', isRepeatable: true, isStream: true, body: bodyOf('r', true),
	}));
	checker.read(1, 9000);
	checker.finish(1);
	expect(checker.violations).toEqual([]);
});

// Guards against a checker that finds nothing: each row plants one broken promise.
it.each<{planted: string; act: (checker: SoakChecker) => void; broken: SoakPromise}>([
	{
		planted: 'a second run of a request that must not be repeated', broken: promise.runsOnce, act(checker) {
			checker.ran('a', 'q', 1010, true);
			checker.ran('b', 'q', 1020, true);
		},
	},
	{
		planted: 'a refusal after a run', broken: promise.refusedIsNotRun, act(checker) {
			checker.ran('a', 'q', 1010, true);
			checker.ended(outcome({status: 503}));
		},
	},
	{
		planted: 'a run after a refusal', broken: promise.refusedIsNotRun, act(checker) {
			checker.ended(outcome({status: 503}));
			checker.ran('a', 'q', 1200, true);
		},
	},
	{
		planted: 'an answer to another request', broken: promise.ownWholeAnswer, act(checker) {
			checker.ended(outcome({body: bodyOf('p', false)}));
		},
	},
	{
		planted: 'half an answer', broken: promise.ownWholeAnswer, act(checker) {
			checker.ended(outcome({body: bodyOf('q', false).slice(0, 4)}));
		},
	},
	{
		planted: 'a success that no engine signed', broken: promise.ownWholeAnswer, act(checker) {
			checker.ended(outcome({isSigned: false}));
		},
	},
	{
		planted: 'a stream with a gap', broken: promise.eventsInOrder, act(checker) {
			checker.ended(outcome({isStream: true, body: bodyOf('q', true).replace('id: 3\ndata: q\n\n', '')}));
		},
	},
	{
		planted: 'a stream with an event twice', broken: promise.eventsInOrder, act(checker) {
			checker.ended(outcome({isStream: true, body: `id: 1\ndata: q\n\n${eventsOf('q', 1)}`}));
		},
	},
	{
		planted: 'a run with a removed key', broken: promise.keysInForce, act(checker) {
			checker.acknowledged(2, ['k'], 2000);
			checker.sent('r', 'k', true, 7100);
			checker.ran('a', 'r', 7110, true);
		},
	},
	{
		planted: 'a run with a key that was never valid', broken: promise.keysInForce, act(checker) {
			checker.sent('r', 'forged', true, 1000);
			checker.ran('a', 'r', 1010, true);
		},
	},
	{
		planted: 'an older configuration that is read', broken: promise.configurationKept, act(checker) {
			checker.acknowledged(2, [], 2000);
			checker.read(1, 4600);
		},
	},
	{
		planted: 'an acknowledged configuration that is lost', broken: promise.configurationKept, act(checker) {
			checker.acknowledged(2, [], 2000);
			checker.finish(1);
		},
	},
	{
		planted: 'a request for an engine that drains', broken: promise.drained, act(checker) {
			checker.drainAcknowledged('a', 1000);
			checker.ran('a', 'q', 3600, true);
		},
	},
	{
		planted: 'a request cut at a planned stop', broken: promise.answeredAtStop, act(checker) {
			checker.ended(outcome({status: undefined, isAtPlannedStop: true}));
		},
	},
	{
		planted: 'requests that are not served after the faults', broken: promise.recovers, act(checker) {
			checker.ended(outcome({status: 502}));
			checker.finish(1);
		},
	},
])('reports $planted', ({act, broken}) => {
	const checker = world();
	act(checker);
	expect(checker.violations.map(text => text.split(':')[0])).toContain(broken);
});
