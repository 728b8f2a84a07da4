import {expect, it} from 'vitest';
import {ControlCluster} from '../../testing/control-cluster.js';
import {type ControlState} from '../control/control-state.js';
import {BurnCollector} from './burn-collector.js';
import {BurnCounter} from './burn-counter.js';
import {BurnReporter} from './burn-reporter.js';

const subject = {
	service: 'notes', objective: 'refusals', version: 'small@1', customer: 'acme',
};

function startEntry(cluster: ControlCluster, host: string): BurnCounter {
	const {follower, clock} = cluster.add(host);
	const counter = new BurnCounter(clock);
	follower.addSection(new BurnReporter(counter, clock));
	return counter;
}

function startCollector(cluster: ControlCluster, host: string): BurnCollector {
	const {service, log, clock, follower} = cluster.daemon(host);
	const collector = new BurnCollector({
		sums: (follower.view as ControlState).burnSums, isLeading: () => service!.leadership.period !== undefined, propose: async command => log!.propose(command), clock,
	});
	service!.addSection(collector);
	return collector;
}

function sumOf(state: ControlState): [number, number] {
	const rows = [...state.burnSums.hours()].flatMap(([, rows]) => rows);
	return [rows.reduce((sum, [, total]) => sum + total, 0), rows.reduce((sum, row) => sum + row[2], 0)];
}

// Guards against sums that a daemon other than the leader writes.
it('refuses sums that are not proposed by the leader itself', async () => {
	const cluster = await ControlCluster.start(['e1']);
	const proposal = cluster.daemon('e1').follower.propose({
		type: 'burn-sums', host: 'e1', incarnation: 1, hour: 500_000, rows: [['notes|refusals|-|-', 1, 1]], at: 1_800_000_000_000,
	});
	await expect(cluster.settle(proposal)).rejects.toMatchObject({peerCode: 'command-not-allowed'});
	expect(sumOf(cluster.daemon('v1').follower.view as ControlState)).toEqual([0, 0]);
	cluster.dispose();
});

// Guards against wrong sums after a leader change, lost or delayed renewals, or a restart of an entry host.
it('writes each request of an hour to the log once despite leader changes, message loss and a restart', async () => {
	const cluster = await ControlCluster.start(['e1']);
	const collectors = cluster.voters.map(host => startCollector(cluster, host));
	const counters = ['e1', 'e2'].map(host => startEntry(cluster, host));
	Object.assign(cluster.network.faults, {lossRate: 0.05, duplicateRate: 0.2, maxDelayMs: 40});
	let total = 0;
	let bad = 0;
	for (let minute = 0; minute < 59; minute++) {
		for (const counter of counters) {
			counter.count(subject, 3, minute % 2);
			total += 3;
			bad += minute % 2;
		}

		// eslint-disable-next-line no-await-in-loop -- time advances minute by minute
		await cluster.clock.advance(60_000);
		if (minute === 20 || minute === 50) {
			cluster.log.elect(minute === 20 ? 'v2' : 'v3');
		}

		if (minute === 40) {
			counters[1] = startEntry(cluster, 'e2');
		}
	}

	expect(sumOf(cluster.daemon('v1').follower.view as ControlState)).not.toEqual([total, bad]);
	await cluster.clock.advance(5 * 60_000);
	for (const host of ['v1', 'v2', 'v3', 'e1', 'e2']) {
		expect([host, sumOf(cluster.daemon(host).follower.view as ControlState)]).toEqual([host, [total, bad]]);
	}

	for (const disposable of [...collectors, cluster]) {
		disposable.dispose();
	}
}, 60_000);
