import {expect, it} from 'vitest';
import {ControlCluster, testDocument} from '../../testing/control-cluster.js';
import {type ControlFollower} from './control-follower.js';
import {leaderLeaseMs, leaseMs} from './control-times.js';
import {inForceMethod, releaseMethod, renewMethod} from './control-methods.js';

const submit = (changeId: string, target = 0.5, baseRevision?: number) => ({
	type: 'submit-document', changeId, baseRevision, document: testDocument('chat', undefined, target),
} as const);

const withdraw = (changeId: string) => ({
	type: 'withdraw-version', changeId, service: 'chat', ref: 'small@1',
} as const);

const targetOf = ({view}: ControlFollower) => view.documents.get('chat')?.document.quality.target;

// Guards against lost updates when two operators edit the same revision.
it('accepts exactly one of several concurrent changes and returns the current document with each conflict', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	await cluster.settle(cluster.daemon('e1').follower.propose(submit('c0', 0.5, 0)));
	const base = cluster.daemon('v1').log!.commitIndex;
	const results = await cluster.settle(Promise.all(['e1', 'e2', 'v3'].map(async (host, index) => cluster.daemon(host).follower.propose(submit(`race-${host}`, 0.6 + (index / 10), base)))));
	expect(results.filter(result => result.status === 'accepted')).toHaveLength(1);
	const conflicts = results.filter(result => result.status === 'conflict');
	expect(conflicts).toHaveLength(2);
	for (const conflict of conflicts) {
		expect(conflict).toMatchObject({code: 'revision-conflict', revision: base + 1, current: {quality: {target: 0.6}}});
	}

	await cluster.clock.advance(1500);
	expect(targetOf(cluster.daemon('e2').follower)).toBe(0.6);
});

// Guards against a change that is applied twice, or reported as failed, when only its reply was lost.
it('answers a resend after a lost reply with the first outcome', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	cluster.network.cut('v1', 'e1');
	const result = cluster.daemon('e1').follower.propose(submit('c1', 0.7, 0));
	await cluster.clock.advance(3000);
	const first = cluster.log.entries.findIndex(entry => entry.command?.type === 'submit-document') + 1;
	cluster.network.heal();
	expect(await cluster.settle(result)).toEqual({status: 'accepted', revision: first});
	expect(cluster.log.entries.filter(entry => entry.command?.type === 'submit-document').length).toBeGreaterThan(1);
	expect(cluster.daemon('v1').follower.view.documents.get('chat')!.revision).toBe(first);
});

// Guards against an operator tool that reuses a change id and mistakes the outcome of another change for its own.
it('refuses a reused change id with different content', async () => {
	const cluster = await ControlCluster.start(['e1']);
	const {follower} = cluster.daemon('e1');
	await cluster.settle(follower.propose(submit('c1', 0.7)));
	expect(await cluster.settle(follower.propose(submit('c1', 0.8)))).toMatchObject({status: 'conflict', code: 'change-id-reused'});
	await cluster.clock.advance(1500);
	expect(targetOf(follower)).toBe(0.7);
});

// Guards against malformed documents in the log, where every daemon would have to handle them.
it('refuses a malformed document and leader-only commands', async () => {
	const cluster = await ControlCluster.start(['e1']);
	const {follower} = cluster.daemon('e1');
	const command = submit('c1');
	await expect(cluster.settle(follower.propose({...command, document: {...command.document, versions: []}}))).rejects.toMatchObject({peerCode: 'document-invalid'});
	await expect(cluster.settle(follower.propose({type: 'next-fencing', leader: 'e1'}))).rejects.toMatchObject({peerCode: 'command-not-allowed'});
});

// Guards against a restarted daemon that replays the history entry by entry, or takes work before it is up to date.
it.each([['from entries', false], ['from a snapshot', true]])('gets a lease within 1 s of a restart after 500 changes, %s', async (_, isTruncated) => {
	const cluster = await ControlCluster.start(['e1']);
	for (const round of [0, 1]) {
		for (let index = 500 * round; index < 500 * (round + 1); index++) {
			// eslint-disable-next-line no-await-in-loop -- changes follow each other
			await cluster.daemon('v1').log!.propose(submit(`c${index}`, index / 1000));
		}

		if (isTruncated) {
			cluster.log.firstIndex = cluster.log.entries.length + 1;
		}

		/* eslint-disable no-await-in-loop -- steps in order */
		await cluster.clock.advance(100);
		const {follower} = cluster.add('e1');
		const last = 0.499 + (round / 2);
		expect(follower.lease.isValid()).toBe(false);
		expect(await cluster.clock.advanceUntil(() => follower.lease.isValid(), 1000)).toBe(true);
		expect(targetOf(follower)).toBe(last);
		expect(await cluster.settle(follower.propose(submit('c7', 0.007)))).toMatchObject({status: 'accepted'});
		await cluster.clock.advance(1000);
		expect(targetOf(follower)).toBe(last);
		/* eslint-enable no-await-in-loop */
	}
});

async function startWithDocument(others: readonly string[]) {
	const cluster = await ControlCluster.start(others);
	const {follower} = cluster.daemon('v1');
	const result = await cluster.settle(follower.propose(submit('c0')));
	expect(result.status).toBe('accepted');
	await cluster.clock.advance(6000);
	return cluster;
}

// Guards against an isolated leader that continues to grant leases or to report revisions as in force.
it('grants no leases at an isolated leader that still considers itself the leader', async () => {
	const cluster = await startWithDocument(['e1', 'e2']);
	const old = cluster.daemon('v1');
	// E1 stays in the partition of the old leader.
	cluster.network.partition(['v1', 'e1'], ['v2', 'v3', 'e2']);
	old.log!.setIsolated(true);
	cluster.log.elect('v2');
	expect([old.log!.role, old.log!.hasLease()]).toEqual(['leader', false]);
	await cluster.clock.advance(leaseMs + 500);
	expect([old.follower.lease.isValid(), cluster.daemon('e1').follower.lease.isValid()]).toEqual([false, false]);
	expect(() => old.service!.inForce(1)).toThrow(expect.objectContaining({code: 'not-leader', data: {leader: undefined}}));
	expect(old.service!.leadership.fencingFor({checksFencing: true})).toBeUndefined();
	expect(cluster.daemon('e2').follower.lease.isValid()).toBe(true);
	cluster.network.heal();
	old.log!.setIsolated(false);
	await cluster.clock.advance(2500);
	expect([old.follower.lease.isValid(), cluster.daemon('e1').follower.lease.isValid()]).toEqual([true, true]);
});

// Guards against a new leader that reports a revision as in force, or sends orders, while daemons or engines still follow the previous leader.
it('waits until the leases of the previous leader have expired', async () => {
	const cluster = await startWithDocument(['e1']);
	cluster.isolate('v1');
	cluster.daemon('v1').log!.setIsolated(true);
	cluster.log.elect('v2');
	await cluster.clock.advance(100);
	const {service, log} = cluster.daemon('v2');
	const {leadership} = service!;
	const {fencing} = (leadership.period!);
	expect(service!.inForce(1).inForce).toBe(false);
	expect([leadership.fencingFor({checksFencing: true}), leadership.fencingFor({checksFencing: false})]).toEqual([fencing, undefined]);
	await cluster.clock.advance(leaderLeaseMs - 200);
	expect(service!.inForce(log!.commitIndex)).toMatchObject({inForce: false, behind: []});
	await cluster.clock.advance(150);
	expect(service!.inForce(log!.commitIndex).inForce).toBe(true);
	expect(leadership.fencingFor({checksFencing: false})).toBe(fencing);
	expect(fencing).toBeGreaterThan(cluster.daemon('v1').follower.applied);
});

// Guards against a leader that stays idle after its first commit has failed.
it('retries to commit a fencing number when the first attempt fails', async () => {
	const cluster = await startWithDocument(['e1']);
	const {log, service} = cluster.daemon('v2');
	const propose = log!.propose.bind(log);
	log!.propose = async command => {
		log!.propose = propose;
		throw new Error(`${command.type} cannot be appended`);
	};

	cluster.log.elect('v2');
	await cluster.clock.advance(50);
	expect(service!.leadership.period).toBeUndefined();
	await cluster.clock.advance(3000);
	expect(service!.leadership.period).toBeDefined();
	expect(cluster.daemon('e1').follower.lease.isValid()).toBe(true);
});

// Guards against new work on a withdrawn version at an unreachable host whose clock is slow.
it.each([['in both directions', true], ['for incoming messages only', false]])('brings a withdrawal into force after the lease expiry of a host that is cut off %s', async (_, isCutBothWays) => {
	const cluster = await startWithDocument(['e1']);
	const slow = cluster.add('e2', {rate: 0.99});
	await cluster.clock.advance(3000);
	expect(slow.follower.lease.isValid()).toBe(true);
	if (isCutBothWays) {
		cluster.isolate('e2');
	} else {
		cluster.network.cut('v1', 'e2');
	}

	const result = await cluster.settle(cluster.daemon('e1').follower.propose(withdraw('w1')));
	const revision = 'revision' in result ? result.revision : 0;
	const {service} = cluster.daemon('v1');
	await cluster.clock.advance(500);
	expect(service!.inForce(revision)).toMatchObject({inForce: false, committed: true, behind: [{host: 'e2'}]});
	let refusedAt: number | undefined;
	const isInForce = await cluster.clock.advanceUntil(() => {
		refusedAt ??= slow.follower.lease.isValid() ? undefined : cluster.clock.now();
		return service!.inForce(revision).inForce;
	}, leaderLeaseMs, 1);
	expect(isInForce).toBe(true);
	expect(refusedAt).toBeLessThan(cluster.clock.now());
});

// Guards against a leader that ignores clock drift when it counts a lease. A renewal that is answered at once leaves no other margin.
it('waits for the lease of a host whose clock is 1 % slow', async () => {
	const cluster = await startWithDocument(['e1']);
	const slow = cluster.add('e2', {rate: 1 / 1.01});
	await cluster.clock.advance(2000);
	cluster.isolate('e2');
	await cluster.clock.advance(1600);
	cluster.network.heal();
	const {lease} = slow.follower;
	const {expiresAt} = lease;
	await cluster.clock.advanceUntil(() => lease.expiresAt > expiresAt, 2000, 1);
	cluster.isolate('e2');
	const result = await cluster.settle(cluster.daemon('e1').follower.propose(withdraw('w1')));
	const revision = 'revision' in result ? result.revision : 0;
	const {service} = cluster.daemon('v1');
	let isLate = false;
	const isInForce = await cluster.clock.advanceUntil(() => {
		const {inForce} = service!.inForce(revision);
		isLate ||= inForce && lease.isValid();
		return inForce;
	}, leaderLeaseMs, 1);
	expect([isInForce, isLate]).toEqual([true, false]);
});

// Guards against a renewal in flight during a stop that gets a lease for a host that has already stopped.
it('grants no lease to a renewal that arrives after the release', async () => {
	const cluster = await startWithDocument(['e1']);
	const {follower} = cluster.daemon('e1');
	const {host, incarnation} = follower.entry;
	const probe = cluster.network.attach('probe');
	const renew = async () => cluster.settle(probe.call('v1', renewMethod, {
		host, incarnation, applied: follower.applied, holdMs: 0, parts: {},
	}, 1000));
	expect(await renew()).toMatchObject({granted: true});
	cluster.stop('e1');
	// The expiry is never committed.
	cluster.daemon('v1').log!.propose = async () => new Promise(() => {
		// Never settled.
	});
	const released = probe.call('v1', releaseMethod, {host, incarnation}, 1000);
	await cluster.clock.advance(10);
	expect(await renew()).toMatchObject({granted: false});
	await expect(cluster.settle(released)).rejects.toMatchObject({code: 'peer-timeout'});
});

// Guards against a process that continues under a name that another process has taken over.
it('refuses the earlier of two processes with the same name', async () => {
	const cluster = await startWithDocument(['e1']);
	const old = cluster.daemon('e1');
	const superseded: number[] = [];
	old.follower.onSuperseded(() => superseded.push(cluster.clock.now()));
	// The old process is not stopped, only replaced in the cluster's list of daemons.
	cluster.daemons.delete('e1');
	const next = cluster.add('e1');
	await cluster.clock.advance(3000);
	expect([old.follower.lease.isValid(), superseded.length, next.follower.lease.isValid()]).toEqual([false, 1, true]);
});

// Guards against records written under an expired incarnation: the host must return under a new one.
it('expires a silent entry host through the log and lets it return under a new incarnation', async () => {
	const cluster = await startWithDocument(['e1']);
	const {follower} = cluster.daemon('e1');
	const {incarnation} = follower;
	const changes: number[] = [];
	follower.onIncarnationChange(value => changes.push(value));
	cluster.isolate('e1');
	await cluster.clock.advance(leaseMs - 600);
	expect(cluster.daemon('v2').follower.view.entryHosts.has('e1')).toBe(true);
	await cluster.clock.advance(2000);
	expect(cluster.daemon('v2').follower.view.entryHosts.has('e1')).toBe(false);
	cluster.network.heal();
	await cluster.clock.advance(2000);
	expect([follower.lease.isValid(), changes.length, follower.incarnation > incarnation]).toEqual([true, 1, true]);
	expect(cluster.daemon('v2').follower.view.entryHosts.get('e1')!.incarnation).toBe(follower.incarnation);
});

// Guards against changes that wait for the lease of a host that was shut down gracefully.
it('does not wait for a host that has released its lease', async () => {
	const cluster = await startWithDocument(['e1', 'e2']);
	await cluster.settle(cluster.daemon('e2').follower.release());
	cluster.stop('e2');
	const start = cluster.clock.now();
	const {client} = cluster.daemon('e1').node;
	const result = await cluster.settle(client.withdraw('chat', 'small@1', {changeId: 'w1'}));
	expect(await cluster.settle(client.waitInForce('revision' in result ? result.revision : 0))).toMatchObject({inForce: true});
	expect(cluster.clock.now() - start).toBeLessThan(1500);
});

// Guards against a drain that ends while callers still have the host in their cached entry list.
it('drains: leaves the entry list, then waits until cached lists have expired', async () => {
	const cluster = await startWithDocument(['e1', 'e2']);
	const {node} = cluster.daemon('e2');
	const start = cluster.clock.now();
	let lastListedAt = 0;
	const drained = node.drain.leave();
	await cluster.clock.advanceUntil(() => {
		const isListed = [...cluster.daemons.values()].some(daemon => daemon.node.entryList.for('caller', 'zone-a').entries.some(({host}) => host === 'e2'));
		lastListedAt = isListed ? cluster.clock.now() : lastListedAt;
		return !isListed;
	}, 5000);
	await cluster.settle(drained);
	expect(lastListedAt - start).toBeLessThan(2000);
	expect(cluster.clock.now() - lastListedAt).toBeGreaterThanOrEqual(10_000);
	expect(node.follower.lease.isValid()).toBe(true);
});

// Guards against a reply about control state from a voter that is not the leader.
it('names the leader when another voter is asked', async () => {
	const cluster = await startWithDocument([]);
	const reply = cluster.network.attach('probe').call('v2', inForceMethod, {revision: 1}, 1000);
	await expect(cluster.settle(reply)).rejects.toMatchObject({peerCode: 'not-leader', data: {leader: 'v1'}});
});
