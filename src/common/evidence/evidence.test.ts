import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {AlarmBudget} from './alarm-budget.js';
import {type EvidenceCounters, type EvidenceReport, type EvidenceSubject} from './evidence-counters.js';
import {EvidenceRecorder} from './evidence-recorder.js';
import {EvidenceTotals} from './evidence-totals.js';
import {LocalDetector} from './local-detector.js';
import {hostPosition, hostShare, UnratedCap} from './unrated-cap.js';
import {waldExpectedSample} from './wald-sample.js';

const predecessorOf = (_: string, ref: string) => ref === 'm@2' ? 'm@1' : undefined;
const good = {result: 'answered', firstTokenMs: 100, betweenTokensMs: 10};

function subject(ref: string, requestClass = 'a', escalated = false): EvidenceSubject {
	return {
		service: 's', requestClass, ref, escalated,
	};
}

/** Random source of the answers; each test sets its own seed. */
let random = new SeededRandom(0);

/** Probabilities of a low rating, a failed and a slow answer. */
type Fault = {low?: number; failed?: number; slow?: number};

function recordAnswers(recorder: EvidenceRecorder, of: EvidenceSubject, count: number, {low = 0.1, failed = 0.01, slow = 0.02}: Fault): void {
	for (let index = 0; index < count; index++) {
		recorder.addAnswer(of, {...good, result: random.next() < failed ? 'empty' : 'answered', firstTokenMs: random.next() < slow ? 9000 : 100});
		recorder.addRating(of, random.next() < low ? 0.1 : 0.9);
	}
}

describe('evidence totals', () => {
	// Guards against totals that depend on the order, loss or repetition of reports.
	it('gives the same totals for reports in any order, repeated', () => {
		const counters = fc.integer({min: 0, max: 50}).map((value): EvidenceCounters => [value, 0, 0, value, Math.floor(value / 2)]);
		const reports = fc.array(fc.record({host: fc.constantFrom('x', 'y'), incarnation: fc.integer({min: 1, max: 2}), counters: fc.record({k: counters})}), {maxLength: 10});
		fc.assert(fc.property(reports.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray([...list, ...list], {minLength: list.length * 2}))), ([list, shuffled]) => {
			const sum = (order: readonly EvidenceReport[]) => {
				const totals = new EvidenceTotals();
				for (const report of order) {
					totals.add(report);
				}

				return totals.total('k');
			};

			expect(sum(shuffled)).toEqual(sum(list));
		}), {seed: 1});
	});
});

describe('quarantine detection', () => {
	// Guards against a kind of failure that the detector misses, and against a quarantine in the class without the fault.
	it.each([
		['low ratings', {low: 0.5}, false],
		['failed answers', {failed: 0.3}, false],
		['slow answers', {slow: 0.5}, false],
		['low ratings on escalated requests', {low: 0.6}, true],
	])('finds %s, for that class only', (name, fault, escalated) => {
		random = new SeededRandom(5);
		const recorder = new EvidenceRecorder('x', 1);
		const detector = new LocalDetector(new ManualClock(), recorder, predecessorOf);
		for (const requestClass of ['a', 'b']) {
			recordAnswers(recorder, subject('m@1', requestClass, escalated), 1000, {});
		}

		expect(detector.update()).toEqual([]);
		const found = Array.from({length: 200}, () => {
			recordAnswers(recorder, subject('m@2', 'a', escalated), 1, fault);
			recordAnswers(recorder, subject('m@2', 'b', escalated), 1, {});
			return detector.update();
		}).flat();
		expect(found.length).toBeGreaterThan(0);
		expect(new Set(found.map(({ref, requestClass}) => `${ref} ${requestClass}`))).toEqual(new Set(['m@2 a']));
		expect(found[0]!.reason).toContain(name);
	});

	// Guards against missing a version that becomes bad after many good answers.
	it('finds a version that becomes bad late', () => {
		random = new SeededRandom(6);
		const recorder = new EvidenceRecorder('x', 1);
		const detector = new LocalDetector(new ManualClock(), recorder, predecessorOf);
		recordAnswers(recorder, subject('m@1'), 2000, {});
		for (let count = 0; count < 3000; count++) {
			recordAnswers(recorder, subject('m@2'), 1, {});
			expect(detector.update()).toEqual([]);
		}

		let needed = 0;
		while (needed < 150 && detector.update().length === 0) {
			recordAnswers(recorder, subject('m@2'), 1, {low: 0.6});
			needed++;
		}

		expect(needed).toBeLessThan(100);
	});

	// Guards against counting a late rating for the version in use when it arrives instead of the one that answered.
	it('counts a late rating for the version that answered', () => {
		const recorder = new EvidenceRecorder('x', 1);
		recorder.addAnswer(subject('m@1'), good);
		recorder.addAnswer(subject('m@2'), good);
		recorder.addRating(subject('m@1'), 0.1);
		expect(Object.entries(recorder.fullReport().counters)).toEqual([['s|a|m@1|0', [1, 0, 0, 1, 1]], ['s|a|m@2|0', [1, 0, 0, 0, 0]]]);
		expect(recorder.incrementalReport()).toBeDefined();
		expect(recorder.incrementalReport()).toBeUndefined();
	});

	// Guards against more false alarms than allowed on days with many answers.
	it('spends at most the budget of the day', () => {
		const budget = new AlarmBudget(0.001, 24);
		let spent = 0;
		for (let answer = 1; answer <= 1_000_000; answer++) {
			spent += 24 * budget.share(answer);
		}

		expect(spent).toBeLessThanOrEqual(0.001);
	});

	// Guards against an error in the formula that the measured exposure is compared with; the expected values were calculated by hand.
	it.each([[0.1, 0.3, 0.001, 0.05, 41.4], [0.15, 0.5, 0.001, 0.05, 18.9]])('computes the expected sample for %f against %f', (...[healthy, bad, falseAlarm, miss, expected]) => {
		expect(waldExpectedSample({
			healthy, bad, falseAlarm, miss,
		})).toBeCloseTo(expected, 1);
	});
});

describe('cap on unrated answers', () => {
	// Guards against shares that add up to more than the limit, also when there are more hosts than units.
	it.each([[6, 1], [6, 9], [20, 9], [6, 370]])('splits a limit of %i over %i hosts', (limit, count) => {
		const hosts = Array.from({length: count}, (_, index) => `h${index}`);
		const shares = hosts.map(host => hostShare(limit, hostPosition(host, hosts, 'k'), count));
		expect(shares.reduce((sum, share) => sum + share, 0)).toBe(limit);
	});

	// Guards against a cap that stays exhausted when ratings are lost, and against one that does not count unrated answers.
	it('blocks at the limit until ratings arrive or time out', async () => {
		const clock = new ManualClock();
		const cap = new UnratedCap(clock, 'h', {
			initial: 2, growth: 0, requiredRatings: 50, ratingTimeoutMs: 1000,
		});
		cap.recordSent('k', '1');
		cap.recordSent('k', '2');
		expect(cap.allows('k', 0, ['h'])).toBe(false);
		expect(cap.allows('k', 50, ['h'])).toBe(true);
		cap.recordSettled('k', '1');
		expect(cap.allows('k', 0, ['h'])).toBe(true);
		cap.recordSent('k', '3');
		expect(cap.allows('k', 0, ['h'])).toBe(false);
		await clock.advance(1001);
		expect(cap.allows('k', 0, ['h'])).toBe(true);
	});
});
