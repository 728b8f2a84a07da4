import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {BurnCounter} from '../burn/burn-counter.js';
import {ControlState} from '../control/control-state.js';
import {checkDocument} from '../documents/parse-document.js';
import {RequestHistory} from '../entry/request-history.js';
import {RefusalError} from '../entry/refusal-error.js';
import {type FinishedRequest} from '../entry/request-observer.js';
import {type AttemptOutcome} from '../routing/attempt-outcome.js';
import {BurnObserver} from './burn-observer.js';

const document = checkDocument({
	service: 'notes',
	versions: ['small@1'],
	customers: [{name: 'acme', keySha256: 'a'.repeat(64)}],
	objectives: [
		{firstTokenMs: 100, goodShare: 0.9},
		{
			urgency: 'urgent', firstTokenMs: 50, betweenTokensMs: 10, goodShare: 0.9,
		},
		{minRating: 0.7, goodShare: 0.9},
		{exposure: true, goodShare: 0.9},
		{refusals: true, goodShare: 0.9},
	],
});
const answered: FinishedRequest = {
	requestId: 'entry-0-1', service: 'notes', customer: 'acme', urgency: 'normal', outcome: 'answered', ref: 'small@1', requestClass: 'short', firstTokenMs: 60, betweenTokensMs: 5, cost: 0, attempts: [],
};

class Fixture {
	readonly clock = new ManualClock();
	readonly view = new ControlState();
	readonly requestHistory = new RequestHistory();
	readonly counter = new BurnCounter(this.clock);
	readonly observer = new BurnObserver(this);

	constructor() {
		this.view.apply(1, {type: 'submit-document', changeId: 'a', document});
	}

	/** Numbers of all and of bad requests by objective. */
	get counts(): Record<string, readonly [number, number]> {
		const rows = this.counter.report(true).hours.flatMap(([, rows]) => rows);
		return Object.fromEntries(rows.map(([subject, total, bad]) => [subject.split('|')[1]!, [total, bad]]));
	}

	rate(rating: number): void {
		this.observer.rated({attemptId: 'entry-0-1.0', delivered: true, rating} as AttemptOutcome);
	}
}

function failed(code: string, status: number, outcome: FinishedRequest['outcome'] = 'failed'): Partial<FinishedRequest> {
	return {
		outcome, ref: undefined, firstTokenMs: undefined, betweenTokensMs: undefined, refusal: new RefusalError(code, 'Refused.', {status}),
	};
}

// Guards against objectives that count errors of callers, miss errors of the system, or mix urgencies.
it.each<{name: string; change: Partial<FinishedRequest>; counts: Record<string, readonly [number, number]>}>([
	{
		name: 'a good answer', change: {}, counts: {'first-token': [1, 0], exposure: [1, 0], refusals: [1, 0]},
	},
	{
		name: 'a slow first token', change: {firstTokenMs: 100}, counts: {'first-token': [1, 1], exposure: [1, 0], refusals: [1, 0]},
	},
	{
		name: 'an urgent answer that is slow between tokens', change: {urgency: 'urgent', firstTokenMs: 20, betweenTokensMs: 11}, counts: {
			'first-token': [1, 0], 'urgent/first-token+between-tokens': [1, 1], exposure: [1, 0], refusals: [1, 0],
		},
	},
	{
		name: 'an overload', change: failed('overloaded', 429), counts: {'first-token': [1, 1], refusals: [1, 1]},
	},
	{
		name: 'a broken engine', change: failed('engine-broken', 502), counts: {'first-token': [1, 1], refusals: [1, 1]},
	},
	{
		name: 'an unknown outcome', change: failed('engine-broken', 502, 'unknown'), counts: {'first-token': [1, 1], refusals: [1, 1]},
	},
	{
		name: 'an error of the caller', change: failed('key-reused', 422), counts: {},
	},
	{
		name: 'a caller that disconnected', change: failed('cancelled', 499, 'cancelled'), counts: {},
	},
	{
		name: 'a service without a document', change: {service: 'other'}, counts: {},
	},
])('counts $name', ({change, counts}) => {
	const fixture = new Fixture();
	fixture.observer.finished({...answered, ...change});
	expect(fixture.counts).toEqual(counts);
});

// Guards against ratings that are lost because they arrive before or long after the end of their request, or are counted twice.
it.each([
	{order: 'before', rating: 0.6, bad: 1}, {order: 'before', rating: 0.7, bad: 0}, {order: 'after', rating: 0.6, bad: 1}, {order: 'after', rating: 0.7, bad: 0},
])('counts a rating of $rating $order the end of its request', ({order, rating, bad}) => {
	const fixture = new Fixture();
	if (order === 'before') {
		fixture.rate(rating);
	}

	fixture.observer.finished(answered);
	fixture.rate(rating);
	fixture.rate(rating);
	expect(fixture.counts.quality).toEqual([1, bad]);
});

// Guards against an exposure objective that misses answers given shortly before a quarantine, or counts answers given long before
// it or of another request class.
it.each([
	{minutes: 1, requestClass: 'short', bad: 1}, {minutes: 9, requestClass: 'short', bad: 1}, {minutes: 9, requestClass: '*', bad: 1}, {minutes: 12, requestClass: 'short', bad: 0}, {minutes: 1, requestClass: 'long', bad: 0},
])('counts $bad answers as bad when the class $requestClass is quarantined $minutes min after an answer of the class short', async ({minutes, requestClass, bad}) => {
	const fixture = new Fixture();
	const {clock, view, observer} = fixture;
	observer.finished(answered);
	await clock.advance(minutes * 60_000);
	view.apply(2, {
		type: 'quarantine', service: 'notes', requestClass, ref: 'small@1', reason: '',
	});
	observer.checkExposure();
	observer.checkExposure();
	const rows = fixture.counter.report(true).hours.flatMap(([, rows]) => rows);
	expect(rows.find(([subject]) => subject.includes('|exposure|'))).toEqual([expect.any(String), 1, bad]);
});

// Guards against a request history that grows with the number of requests.
it('keeps the last 1,000 requests in the history', () => {
	const {observer, requestHistory} = new Fixture();
	for (let index = 0; index < 1500; index++) {
		observer.finished({...answered, requestId: `entry-0-${index}`});
	}

	expect([requestHistory.get('entry-0-499'), requestHistory.get('entry-0-500')?.requestId, requestHistory.get('entry-0-1499')?.requestId]).toEqual([undefined, 'entry-0-500', 'entry-0-1499']);
});
