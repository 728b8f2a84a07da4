import fc from 'fast-check';
import {expect, it} from 'vitest';
import {type Clock} from '../base/clock.js';
import {type RandomSource} from '../base/random-source.js';
import {SeededRandom} from '../base/seeded-random.js';
import {BudgetAllocator} from './budget-allocator.js';
import {BudgetLeases} from './budget-leases.js';
import {type BudgetGrant} from './budget-messages.js';

const leaseMs = 4000;
const limits = [{key: 's/a', limit: {requests: 90, tokens: 9000}}];

/** Faults injected to show that the check detects them. */
type Fault = 'none' | 'no wait after a leader change' | 'grant of a lost host returned early' | 'lease counted from the reply' | 'late grants accepted' | 'new leader trusts old reports';
type Host = {name: string; incarnation: number; clockRate: number; isUp: boolean; isPartitioned: boolean; last: number; leases: BudgetLeases; hasDemand: boolean};

/** Simulates five entry hosts with changing leaders, over a network that loses and reorders messages; clocks run up to 0.5 % slow. */
class Simulation {
	maxHeld = 0;
	private _now = 0;
	private _term = 1;
	private _leader: BudgetAllocator;
	private readonly _events: Array<{at: number; run: () => void}> = [];
	private readonly _hosts: Host[] = [];

	constructor(private readonly _random: RandomSource, private readonly _fault: Fault) {
		this._leader = this._newLeader();
		for (let index = 0; index < 5; index++) {
			this._start(`h${index}`, 1);
		}

		this._schedule(6000 + this._random.integer(6000), () => {
			this._changeLeader();
		});
	}

	run(durationMs: number): void {
		for (;;) {
			this._events.sort((a, b) => a.at - b.at);
			const event = this._events.shift();
			if (!event || event.at > durationMs) {
				return;
			}

			this._now = event.at;
			event.run();
			this.maxHeld = Math.max(this.maxHeld, this._held('requests') / 90, this._held('tokens') / 9000);
		}
	}

	private _held(unit: 'requests' | 'tokens'): number {
		return this._hosts.reduce((sum, host) => sum + (host.isUp ? host.leases.held('s/a')[unit] ?? 0 : 0), 0);
	}

	private _newLeader(): BudgetAllocator {
		const startedAt = this._fault === 'no wait after a leader change' ? this._now - (2 * leaseMs) : this._now;
		return new BudgetAllocator(this._term, this._fault === 'grant of a lost host returned early' ? leaseMs / 4 : leaseMs, startedAt);
	}

	private _changeLeader(): void {
		this._term++;
		this._leader = this._newLeader();
		this._schedule(3000 + this._random.integer(12_000), () => {
			this._changeLeader();
		});
	}

	private _start(name: string, incarnation: number): void {
		const clockRate = 1 - (0.005 * this._random.next());
		const clock: Clock = {now: () => this._now * clockRate, wallTime: () => this._now, setTimer: () => ({dispose: () => undefined})};
		const host: Host = {
			name, incarnation, clockRate, isUp: true, isPartitioned: false, last: 0, hasDemand: this._random.next() < 0.5, leases: new BudgetLeases(clock, name, incarnation, () => true),
		};
		this._hosts.push(host);
		this._schedule(this._random.integer(1000), () => {
			this._renew(host);
		});
		this._schedule(5000 + this._random.integer(15_000), () => {
			// A host that seems to have failed may only be partitioned: it sends nothing more, but uses its grant and grants that still arrive.
			host.isPartitioned = true;
			this._schedule(this._random.integer(3 * leaseMs), () => {
				host.isUp = false;
			});
			this._start(name, incarnation + 1);
		});
	}

	private _renew(host: Host): void {
		if (host.isPartitioned) {
			return;
		}

		host.hasDemand = this._random.next() < 0.2 ? !host.hasDemand : host.hasDemand;
		for (let count = 0; host.hasDemand && count < 60; count++) {
			host.leases.take('s/a', 100);
		}

		const sentAt = this._now * host.clockRate;
		const {applied, ...rest} = host.leases.report();
		const report = {...rest, applied: {...applied, sequence: Math.floor(applied.sequence)}};
		this._send(() => {
			const isReturnedEarly = this._fault === 'grant of a lost host returned early';
			const grant = this._leader.grant(report, limits, this._now);
			this._send(() => {
				this._receive(host, isReturnedEarly ? {...grant, leaseMs} : grant, sentAt);
			});
		});
		this._schedule(300 + this._random.integer(700), () => {
			this._renew(host);
		});
	}

	private _receive(host: Host, grant: BudgetGrant, sentAt: number): void {
		// For this fault a late grant gets a number just above the last one, so that the host applies it.
		host.last = Math.max(host.last + 1e-6, (grant.number.term * 1e6) + grant.number.sequence);
		const number = this._fault === 'late grants accepted' ? {term: Math.floor(host.last / 1e6), sequence: host.last % 1e6} : grant.number;
		const atMostHeld = grant.atMostHeld && this._fault !== 'new leader trusts old reports';
		host.leases.applyGrant({...grant, number, atMostHeld}, this._fault === 'lease counted from the reply' ? this._now * host.clockRate : sentAt);
	}

	/** Loses 15 % of the messages, and delays others by up to 2.5 s, so that they are reordered. */
	private _send(deliver: () => void): void {
		if (this._random.next() >= 0.15) {
			this._schedule(this._random.next() < 0.8 ? this._random.integer(20) : this._random.integer(2500), deliver);
		}
	}

	private _schedule(delayMs: number, run: () => void): void {
		this._events.push({at: this._now + delayMs, run});
	}
}

function maxHeld(seed: number, fault: Fault): number {
	const simulation = new Simulation(new SeededRandom(seed), fault);
	simulation.run(60_000);
	return simulation.maxHeld;
}

// Guards against a sum of grants above the limit when hosts, messages or leaders are lost.
it('never grants more than the limit', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 1_000_000}), seed => {
		const held = maxHeld(seed, 'none');
		expect(held).toBeLessThanOrEqual(1 + 1e-9);
		// The check is meaningless if hardly anything is granted.
		expect(held).toBeGreaterThan(0.5);
	}), {seed: 21, numRuns: 300});
});

// Shows that the check above detects each of these faults.
it.each<Fault>([
	'no wait after a leader change', 'grant of a lost host returned early', 'lease counted from the reply', 'late grants accepted', 'new leader trusts old reports',
])('detects the fault: %s', fault => {
	const worst = Math.max(...Array.from({length: 60}, (_, seed) => maxHeld(seed, fault)));
	expect(worst).toBeGreaterThan(1.02);
});

const report = (host: string, requests: number, applied = 0) => ({
	host, incarnation: 1, applied: {term: 1, sequence: applied}, demands: [{key: 's/a', demand: {requests, tokens: 0}, held: {}}],
});

// Guards against a host without demand that holds more than its base grant, and against an unused part of the limit while another host has demand.
it('moves unused share to a host with demand within two renewals', () => {
	const leader = new BudgetAllocator(1, leaseMs, -10_000);
	const rates = new Map<string, number>();
	const applied = new Map<string, number>();
	const renew = (host: string, requests: number, now: number) => {
		const grant = leader.grant(report(host, requests, applied.get(host)), limits, now);
		applied.set(host, grant.number.sequence);
		rates.set(host, grant.budgets[0]!.rate.requests!);
	};

	for (let round = 0; round < 3; round++) {
		renew('x', 100, round * 1000);
		renew('y', 0, (round * 1000) + 500);
	}

	expect([rates.get('x'), rates.get('y')]).toEqual([81, 9]);
	for (let round = 3; round < 5; round++) {
		renew('y', 100, (round * 1000) - 500);
		renew('x', 0, round * 1000);
	}

	renew('y', 100, 5000);
	expect([rates.get('x'), rates.get('y')]).toEqual([9, 81]);
});

// Guards against reusing the grant of a lost host before its lease expires.
it('reuses the grant of a lost host when its lease expires', () => {
	const leader = new BudgetAllocator(1, leaseMs, -10_000);
	leader.grant(report('x', 100), limits, 0);
	const at = (now: number) => leader.grant(report('y', 100), limits, now).budgets[0]!.rate.requests!;
	expect(at(4039)).toBeLessThanOrEqual(90 - 81 + 1e-9);
	expect(at(4040)).toBeGreaterThan(81);
});
