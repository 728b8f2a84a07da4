import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {serviceRolloutState, type ServiceRollout} from '../control/service-rollout.js';
import {serversForRelease} from './servers-for-release.js';
import {ServerRecord} from './server-pool.js';

const failuresUntilEjected = 3;

function records(release: string, count: number): ServerRecord[] {
	return Array.from({length: count}, (_, index) => new ServerRecord(testBackend(`${release}-${index}`, {release})));
}

function chosen(share: number, candidates: readonly ServerRecord[]): string[] {
	const rollout: ServiceRollout = {
		service: 's', target: 'new', state: serviceRolloutState.inProgress, share, holdsSessions: true, startedAt: 0, durationMs: 1000, revision: 1,
	};
	const keys = Array.from({length: 200}, (_, index) => `session-${index}`);
	const ids = keys.flatMap(key => serversForRelease(rollout, {key, isSticky: false}, candidates, 0).filter(({server}) => server.release === 'new').map(({server}) => server.id));
	return [...new Set(ids)].sort();
}

// Guards against a trial whose servers are idle, so that faults under load do not show and slow answers look fast.
it.each([
	{servers: 6, share: 1 / 6, inTrial: 1},
	{servers: 13, share: 1 / 13, inTrial: 1},
	{servers: 62, share: 3 / 62, inTrial: 3},
	{servers: 6, share: 1, inTrial: 6},
])('sends a share of $share to $inTrial of $servers servers', ({servers, share, inTrial}) => {
	expect(chosen(share, [...records('old', servers), ...records('new', servers)])).toHaveLength(inTrial);
});

// Guards against a trial that ends because its server has failed.
it('moves the trial to another server when its server is ejected', () => {
	const candidates = [...records('old', 6), ...records('new', 6)];
	const [before] = chosen(1 / 6, candidates);
	const {health} = candidates.find(({server}) => server.id === before)!;
	for (let index = 0; index < failuresUntilEjected; index++) {
		health.record(true, 0, 0);
	}

	expect(chosen(1 / 6, candidates)).toHaveLength(1);
	expect(chosen(1 / 6, candidates)).not.toContain(before);
});

// Guards against requests to a release that an earlier roll-out has reverted, while its servers are still listed.
it.each(Object.values(serviceRolloutState))('sends nothing to a rejected release while the next roll-out is %s', state => {
	const rollout: ServiceRollout = {
		service: 's', target: 'new', rejected: ['bad'], state, share: 0, holdsSessions: true, startedAt: 0, durationMs: 1000, revision: 1,
	};
	const candidates = [...records('old', 2), ...records('bad', 2), ...records('new', state === serviceRolloutState.completed ? 2 : 0)];
	const used = serversForRelease(rollout, {key: 'k', isSticky: false}, candidates, 0).map(({server}) => server.release);
	expect(used).toEqual(state === serviceRolloutState.completed ? ['new', 'new'] : ['old', 'old']);
});
