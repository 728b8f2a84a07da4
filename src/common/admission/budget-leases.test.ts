import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {BudgetLeases} from './budget-leases.js';
import {type BudgetGrant} from './budget-messages.js';

const grant = (sequence: number, requests: number, tokens?: number, term = 1): BudgetGrant => ({
	number: {term, sequence}, leaseMs: 4000, atMostHeld: false, budgets: [{key: 's/a', rate: {requests, tokens}}],
});

function setup() {
	const clock = new ManualClock();
	const leases = new BudgetLeases(clock, 'h', 1, key => key === 's/a');
	/** Number of requests accepted when more are sent than any grant allows. */
	const accepted = (tokens = 10) => Array.from({length: 50}, () => leases.take('s/a', tokens)).filter(waitMs => waitMs === 0).length;
	return {clock, leases, accepted};
}

// Guards against requests above the grant or after its lease, and against a first request that needs a round trip.
it('allows the granted rate until the lease expires', async () => {
	const {clock, leases, accepted} = setup();
	expect([leases.take('s/a', 1), leases.take('s/b', 1)]).toEqual([1000, 0]);
	await clock.advance(500);
	leases.applyGrant(grant(1, 10), 200);
	expect(accepted()).toBe(10);
	expect(leases.take('s/a', 1)).toBeCloseTo(100);
	await clock.advance(1000);
	expect(accepted()).toBe(10);
	await clock.advance(2699);
	expect(accepted()).toBe(10);
	await clock.advance(1);
	expect([accepted(), leases.held('s/a')]).toEqual([0, {requests: 0, tokens: 0}]);
});

// Guards against refilling the bucket at each renewal, and against applying a stale grant.
it('keeps the bucket level on a renewal and ignores a stale grant', () => {
	const {leases, accepted} = setup();
	leases.applyGrant(grant(5, 10), 0);
	expect(accepted()).toBe(10);
	leases.applyGrant(grant(6, 20), 0);
	leases.applyGrant(grant(5, 50), 0);
	leases.applyGrant(grant(9, 50, undefined, 0), 0);
	expect([accepted(), leases.held('s/a').requests]).toEqual([0, 20]);
});

// Guards against a new leader that raises a grant because of an old report.
it('does not exceed its current grant while a new leader waits for older grants to expire', async () => {
	const {clock, leases} = setup();
	leases.applyGrant(grant(1, 10), 0);
	leases.applyGrant({...grant(1, 30, undefined, 2), atMostHeld: true}, 0);
	expect(leases.held('s/a').requests).toBe(10);
	await clock.advance(4000);
	leases.applyGrant({...grant(2, 10, undefined, 2), atMostHeld: true}, 4000);
	expect(leases.held('s/a').requests).toBe(0);
});

// Guards against actual usage above the token limit, and against refusing a request larger than the bucket forever.
it('limits tokens by their actual number', async () => {
	const {clock, leases} = setup();
	leases.applyGrant(grant(1, 100, 1000), 0);
	expect(leases.take('s/a', 5000)).toBe(0);
	leases.settle('s/a', -4500);
	expect(leases.take('s/a', 500)).toBe(0);
	leases.settle('s/a', 2000);
	await clock.advance(2000);
	expect(leases.take('s/a', 500)).toBeCloseTo(500);
	leases.refund('s/a', 500);
	expect(leases.take('s/a', 500)).toBe(0);
});

// Guards against demand that is still reported long after it ended, which would withhold the share from other hosts.
it('reports demand, which decays within three renewals', async () => {
	const {clock, leases} = setup();
	leases.applyGrant(grant(1, 10), 0);
	const demands: number[] = [];
	for (let round = 0; round < 4; round++) {
		if (round === 0) {
			for (let count = 0; count < 20; count++) {
				leases.take('s/a', 10);
			}
		}

		// eslint-disable-next-line no-await-in-loop -- one renewal each second
		await clock.advance(1000);
		demands.push(leases.report().demands[0]!.demand.requests);
	}

	expect(demands.map(value => Math.round(value * 10) / 10)).toEqual([14, 4.2, 1.3, 0.4]);
});
