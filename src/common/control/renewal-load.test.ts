import {expect, it} from 'vitest';
import {ControlCluster, testDocument} from '../../testing/control-cluster.js';
import {renewMethod} from './control-methods.js';
import {maxRenewHoldMs, wakeIntervalMsPerHost} from './control-times.js';

const hosts = Array.from({length: 250}, (_, index) => `e${index}`);

// Guards against renewals of all hosts for each change of a burst, and against changes that stay unknown.
it('joins the changes of a burst into few renewals of each host', async () => {
	const cluster = await ControlCluster.start(hosts);
	await cluster.clock.advance(3000);
	let renewals = 0;
	const {follower} = cluster.daemon('e0');
	const subscription = follower.onConfirmed(() => {
		renewals++;
	});
	const {log} = cluster.daemon('v1');
	for (let index = 0; index < 100; index++) {
		await log!.propose({type: 'submit-document', changeId: `c${index}`, document: testDocument(`s${index}`)}); // eslint-disable-line no-await-in-loop -- one after the other
		await cluster.clock.advance(20); // eslint-disable-line no-await-in-loop -- one after the other
	}

	// One for each interval, the first change, and the end of a hold.
	expect(renewals).toBeLessThanOrEqual(Math.ceil(2000 / (hosts.length * wakeIntervalMsPerHost)) + 2);
	await cluster.clock.advance(maxRenewHoldMs);
	expect([...cluster.daemons.values()].map(daemon => daemon.follower.view.documents.size)).toEqual(Array.from({length: cluster.daemons.size}, () => 100));
	subscription.dispose();
	cluster.dispose();
});

// Guards against changes that are in force late because of leases that nobody received.
it('grants no lease to a host that has given up its renewal', async () => {
	const cluster = await ControlCluster.start(['e1']);
	const {service} = cluster.daemon('v1');
	const transport = cluster.network.attach('silent');
	const {follower} = cluster.daemon('e1');
	const sender = {host: 'e1', incarnation: follower.incarnation};
	follower.dispose();
	await cluster.clock.advance(1500);
	const {commitIndex, daemons} = service!.overview();
	const before = daemons.find(({host}) => host === 'e1')!.leaseEndsInMs;

	const given = Promise.allSettled([transport.call('v1', renewMethod, {
		...sender, applied: commitIndex, holdMs: 500, parts: {},
	}, 100)]);
	await cluster.clock.advance(1000);
	await given;
	const after = service!.overview().daemons.find(({host}) => host === 'e1')!.leaseEndsInMs;
	expect(after).toBeLessThanOrEqual(before - 1000);
	cluster.dispose();
});
