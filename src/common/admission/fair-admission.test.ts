import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type AdmissionRequest, type AdmissionTicket} from './admission-controller.js';
import {type CustomerLimits} from './customer-limits.js';
import {FairAdmission} from './fair-admission.js';
import {FixedLimit} from './fixed-limit.js';
import {type OverloadedError} from './overloaded-error.js';

const request = (changes: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
	customer: 'a', service: 's', urgency: 'normal', weight: 1, tokens: 900, deadlineAt: 1_000_000, ...changes,
});

/** Runs requests one at a time with others queued, so that the drain rate becomes known: 1,000 tokens per 100 ms. */
async function setup(maxQueued = 100) {
	const clock = new ManualClock();
	const admission = new FairAdmission(clock, new FixedLimit(1), undefined, {maxQueued, urgentHeadroom: 0});
	const log: string[] = [];
	const submit = async (changes: Partial<AdmissionRequest> = {}) => {
		const name = `${changes.customer ?? 'a'}-${changes.urgency ?? 'normal'}`;
		try {
			const ticket = await admission.acquire(request(changes));
			log.push(name);
			clock.setTimer(100, () => {
				ticket.release(900);
			});
		} catch (error) {
			const {code, retryAfterSeconds} = error as OverloadedError;
			log.push(`${name} ${code} after ${clock.now()}, retry ${retryAfterSeconds}`);
		}
	};

	for (let index = 0; index < 40; index++) {
		void submit();
	}

	await clock.advance(3950);
	log.length = 0;
	return {
		clock, admission, submit, log,
	};
}

// Guards against queueing a request that cannot start in time, and against a retry time that does not follow from the drain rate.
it('refuses a request immediately if it cannot meet its deadline', async () => {
	const {clock, submit, log} = await setup();
	for (let index = 0; index < 30; index++) {
		void submit();
	}

	void submit({deadlineAt: clock.now() + 2000});
	await clock.advance(0);
	expect(log).toEqual(['a-normal deadline-unreachable after 3950, retry 3']);
	void submit({deadlineAt: clock.now() + 2000, customer: 'b'});
	await clock.advance(500);
	expect(log).toContain('b-normal');
});

// Guards against a request that stays queued after its deadline.
it('refuses a queued request at its deadline', async () => {
	const clock = new ManualClock();
	const admission = new FairAdmission(clock, new FixedLimit(1));
	await admission.acquire(request());
	const refusal = expect(admission.acquire(request({deadlineAt: 700}))).rejects.toMatchObject({code: 'deadline-unreachable'});
	await clock.advance(699);
	expect(admission.queued).toBe(1);
	await clock.advance(1);
	await refusal;
	expect(admission.queued).toBe(0);
});

// Guards against an unbounded queue, and against shedding urgent requests or those of a customer within its fair share.
it('sheds the least urgent requests of the longest flow when the queue is full', async () => {
	const {clock, submit, log} = await setup(10);
	void submit();
	for (let index = 0; index < 10; index++) {
		void submit({urgency: index < 2 ? 'batch' : 'normal'});
	}

	void submit({urgency: 'urgent'});
	void submit({customer: 'b', urgency: 'batch'});
	void submit({customer: 'b', urgency: 'batch'});
	await clock.advance(0);
	expect(log.filter(line => line.includes('overloaded')).map(line => line.split(' ')[0])).toEqual(['a-batch', 'a-batch', 'a-normal']);
});

// Guards against a wrong count of running requests after the caller aborts a queued request or a ticket is released twice.
it('releases capacity exactly once', async () => {
	const clock = new ManualClock();
	const admission = new FairAdmission(clock, new FixedLimit(1));
	const ticket = await admission.acquire(request());
	const abort = new AbortController();
	const aborted = expect(admission.acquire(request(), abort.signal)).rejects.toMatchObject({code: 'aborted'});
	abort.abort();
	await aborted;
	ticket.release(10);
	ticket.release(10);
	expect([admission.inFlight, admission.queued]).toEqual([0, 0]);
	await expect(admission.acquire(request(), abort.signal)).rejects.toThrow('the caller cancelled the request');
});

// Guards against urgent requests that are queued while their headroom is free, and against normal requests in the headroom.
it('reserves headroom for urgent requests', async () => {
	const admission = new FairAdmission(new ManualClock(), new FixedLimit(10), undefined, {urgentHeadroom: 0.2});
	const tickets: AdmissionTicket[] = [];
	const submit = async (urgency: 'urgent' | 'normal') => tickets.push(await admission.acquire(request({urgency})));
	for (let index = 0; index < 11; index++) {
		void submit('normal');
	}

	await Promise.all([submit('urgent'), submit('urgent')]);
	expect([tickets.length, admission.queued]).toEqual([12, 1]);
});

// Guards against a budget leak: budget that is not returned for a refused request, or not corrected by the actual usage.
it('takes, returns and settles the budget of the customer', async () => {
	const calls: string[] = [];
	const limits: CustomerLimits = {
		take(key, tokens) {
			calls.push(`take ${key} ${tokens}`);
			return key === 's/b' ? 2500 : 0;
		},
		refund: (key, tokens) => calls.push(`refund ${key} ${tokens}`),
		settle: (key, tokens) => calls.push(`settle ${key} ${tokens}`),
	};
	const admission = new FairAdmission(new ManualClock(), new FixedLimit(1), limits);
	const ticket = await admission.acquire(request());
	await expect(admission.acquire(request({customer: 'b'}))).rejects.toMatchObject({code: 'limit-exceeded', retryAfterSeconds: 3});
	await expect(admission.acquire(request({deadlineAt: 0}))).rejects.toMatchObject({code: 'deadline-unreachable'});
	ticket.release(1000);
	expect(calls).toEqual(['take s/a 900', 'take s/b 900', 'take s/a 900', 'refund s/a 900', 'settle s/a 100']);
});
