import {expect, it} from 'vitest';
import {ControlCluster, testDocument} from '../../testing/control-cluster.js';
import {Emitter} from '../base/emitter.js';
import {type FollowerSection} from './follower-section.js';
import {type LeaderSection} from './leader-section.js';
import {minRenewIntervalMs, renewHoldMs} from './control-times.js';
import {renewalSection} from './renewal-section.js';

const demandSection = renewalSection<{demand: number}, {budget: number}>('demand');

class DemandReporter implements FollowerSection<{demand: number}, {budget: number}> {
	readonly section = demandSection;
	readonly budgets: number[] = [];
	readonly terms = new Set<number>();
	isFailing = false;
	collected = 0;
	readonly urgent = new Emitter<void>();

	constructor(private readonly _demand: number) {}

	get onUrgent() {
		return this.urgent.event;
	}

	collect(term: number): {demand: number} {
		if (this.isFailing) {
			throw new Error('collect failed');
		}

		this.collected++;
		this.terms.add(term);
		return {demand: this._demand};
	}

	acknowledge(_term: number, _sent: {demand: number} | undefined, reply: {budget: number} | undefined): void {
		this.budgets.push(reply?.budget ?? 0);
	}
}

class BudgetAllocator implements LeaderSection<{demand: number}, {budget: number}> {
	readonly section = demandSection;
	readonly demands = new Map<string, number>();
	resets = 0;
	isFailing = false;

	reset(): void {
		this.resets++;
		this.demands.clear();
	}

	receive({host}: {host: string}, {demand}: {demand: number}): void {
		this.demands.set(host, demand);
	}

	reply({host}: {host: string}): {budget: number} {
		if (this.isFailing) {
			throw new Error('reply failed');
		}

		return {budget: this.demands.get(host)! * 2};
	}
}

async function startWithSections() {
	const cluster = await ControlCluster.start(['e1']);
	const reporter = new DemandReporter(21);
	const allocators = ['v1', 'v2'].map(host => {
		const allocator = new BudgetAllocator();
		cluster.daemon(host).service!.addSection(allocator);
		return allocator;
	});
	cluster.daemon('e1').follower.addSection(reporter);
	await cluster.clock.advance(2500);
	return {cluster, reporter, allocators};
}

// Guards against modules that need changes to the service for their section of the renewal, and against state left over from an earlier term.
it('carries the sections of other modules, and resets them at a new leader', async () => {
	const {cluster, reporter, allocators: [first, second]} = await startWithSections();
	expect([first!.demands.get('e1'), reporter.budgets.at(-1), second!.demands.size]).toEqual([21, 42, 0]);
	cluster.log.elect('v2');
	await cluster.clock.advance(2500);
	expect([second!.demands.get('e1'), second!.resets, [...reporter.terms]]).toEqual([21, 1, [1, 2]]);
});

// Guards against a fault in one module that costs all hosts their leases, and so stops the service.
it('keeps leases while a section fails on either side', async () => {
	const {cluster, reporter, allocators: [first]} = await startWithSections();
	const {follower} = cluster.daemon('e1');
	for (const section of [first!, reporter]) {
		section.isFailing = true;
		// eslint-disable-next-line no-await-in-loop -- one fault after the other
		await cluster.clock.advance(10_000);
		expect(follower.lease.isValid()).toBe(true);
		section.isFailing = false;
	}

	await cluster.clock.advance(2500);
	expect([follower.lease.isValid(), reporter.budgets.at(-1)]).toEqual([true, 42]);
});

// Guards against a mass restart in which each join is a commit that makes every daemon renew.
it('limits the renewals of a daemon during a burst of commits', async () => {
	const cluster = await ControlCluster.start();
	let renewals = 0;
	const {follower} = cluster.add('e1', {
		alterTransport: transport => ({
			...transport,
			async call(peer, method, params, timeoutMs) {
				renewals += method.name === 'control.renew' ? 1 : 0;
				return transport.call(peer, method, params, timeoutMs);
			},
		}),
	});
	await cluster.clock.advance(3000);
	renewals = 0;
	for (let commit = 0; commit < 500; commit++) {
		/* eslint-disable no-await-in-loop -- commits follow each other */
		await cluster.daemon('v1').log!.propose({type: 'submit-document', changeId: `c${commit}`, document: testDocument(`s${commit % 10}`)});
		await cluster.clock.advance(10);
		/* eslint-enable no-await-in-loop */
	}

	expect(renewals).toBeLessThanOrEqual(5 * 4);
	await cluster.clock.advance(800);
	expect(follower.applied).toBe(cluster.daemon('v1').log!.commitIndex);
});

// Guards against urgent reports that wait for the interval of the renewals.
it('renews early for an urgent report', async () => {
	const {cluster, reporter} = await startWithSections();
	for (let phase = 0; phase < 10; phase++) {
		/* eslint-disable no-await-in-loop -- reports at different times after a renewal */
		await cluster.clock.advance(3000 + (phase * 97));
		const before = reporter.collected;
		reporter.urgent.fire();
		await cluster.clock.advance(renewHoldMs + minRenewIntervalMs + 10);
		/* eslint-enable no-await-in-loop */
		expect(reporter.collected).toBeGreaterThan(before);
	}
});

// Guards against a busy loop while urgent reports keep coming.
it('limits the renewals for urgent reports', async () => {
	const {cluster, reporter} = await startWithSections();
	const before = reporter.collected;
	for (let report = 0; report < 100; report++) {
		reporter.urgent.fire();
		await cluster.clock.advance(10); // eslint-disable-line no-await-in-loop -- the reports follow each other
	}

	expect(reporter.collected - before).toBeLessThanOrEqual((1000 / minRenewIntervalMs) + 1);
});
