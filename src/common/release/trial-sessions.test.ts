import {expect, it} from 'vitest';
import {type ServiceRollout, serviceRolloutState, type ServiceRolloutState} from '../control/service-rollout.js';
import {sessionPosition} from '../forwarding/servers-for-release.js';
import {TrialSessions} from './trial-sessions.js';

const sessions = Array.from({length: 2000}, (_, index) => `session-${index}`);
const revision = 7;

function rollout(state: ServiceRolloutState, share: number, holdsSessions: boolean): ServiceRollout {
	return {
		service: 's', target: 'new', state, share, holdsSessions, startedAt: 0, durationMs: 1000, revision,
	};
}

// Guards against a leader that passes the sessions of all hosts on to all hosts, and against sessions that change their release because other hosts do not know of them.
it.each([
	{
		stage: 'before the trial', state: serviceRolloutState.inProgress, share: 0, holdsSessions: true, previous: 60, atLeast: 0.05, atMost: 0.12,
	},
	{
		stage: 'before the trial, with few servers', state: serviceRolloutState.inProgress, share: 0, holdsSessions: true, previous: 2, atLeast: 0.34, atMost: 0.34,
	},
	{
		stage: 'in the trial', state: serviceRolloutState.inProgress, share: 0.05, holdsSessions: true, previous: 60, atLeast: 0.05, atMost: 0.05,
	},
	{
		stage: 'after the move', state: serviceRolloutState.inProgress, share: 1, holdsSessions: false, previous: 60, atLeast: 0, atMost: 0,
	},
	{
		stage: 'at the end', state: serviceRolloutState.reverted, share: 0, holdsSessions: false, previous: 60, atLeast: 0, atMost: 0,
	},
])('exchanges the sessions that may move $stage', ({state, share, holdsSessions, previous, atLeast, atMost}) => {
	const trials = new TrialSessions();
	trials.update({
		serviceRollouts: new Map([['s', rollout(state, share, holdsSessions)]]),
		backendServers: new Map(Array.from({length: previous}, (_, index) => [`i-${index}`, {services: ['s'], release: 'old'}])),
	});
	const moving = sessions.filter(session => trials.mayMove(session));
	const isBelow = (bound: number) => sessions.filter(session => sessionPosition(session, revision) < bound);
	expect(moving).toEqual(expect.arrayContaining(isBelow(atLeast)));
	expect(isBelow(atMost)).toEqual(expect.arrayContaining(moving));
});
