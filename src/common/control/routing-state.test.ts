import {expect, it} from 'vitest';
import {ControlState} from './control-state.js';

// Guards against an older configuration, or a different one with the current version, that replaces the newest.
it.each([
	{versions: [3, 7], current: 'text 2 of 7'},
	{versions: [7, 3], current: 'text 1 of 7'},
	{versions: [7, 7], current: 'text 1 of 7'},
	{versions: [5, 7, 6, 7], current: 'text 2 of 7'},
])('keeps $current after $versions', ({versions, current}) => {
	const state = new ControlState();
	for (const [position, version] of versions.entries()) {
		state.apply(position + 1, {type: 'apply-routing', version, source: `text ${position + 1} of ${version}`});
	}

	expect(state.routing?.source).toBe(current);
	const copy = new ControlState();
	copy.restore(structuredClone(state.snapshot()));
	expect(copy.routing).toEqual(state.routing);
});

// Guards against a repeated order that restarts a roll-out, and against a second concurrent roll-out.
it.each([
	{targets: ['v2', 'v2'], statuses: ['accepted', 'accepted'], target: 'v2'},
	{targets: ['v2', 'v3'], statuses: ['accepted', 'rejected'], target: 'v2'},
])('orders $targets: $statuses', ({targets, statuses, target}) => {
	const state = new ControlState();
	const results = targets.map((name, position) => state.apply(position + 1, {
		type: 'start-service-rollout', service: 's', target: name, durationMs: 1000, at: 0,
	}));
	expect(results.map(({status}) => status)).toEqual(statuses);
	expect(state.serviceRollouts.get('s')).toMatchObject({
		target, state: 'in-progress', share: 0, revision: 1,
	});
});

// Guards against a release that was reverted and counts as the previous one in the next roll-out.
it.each([
	{ends: ['reverted'], targets: ['v2', 'v3'], rejected: ['v2']},
	{ends: ['reverted', 'reverted'], targets: ['v2', 'v3', 'v4'], rejected: ['v2', 'v3']},
	{ends: ['reverted', 'reverted'], targets: ['v2', 'v3', 'v2'], rejected: ['v3']},
	{ends: ['completed'], targets: ['v2', 'v3'], rejected: []},
] as const)('remembers $rejected after roll-outs of $targets that end as $ends', ({ends, targets, rejected}) => {
	const state = new ControlState();
	let index = 0;
	for (const [position, target] of targets.entries()) {
		state.apply(++index, {
			type: 'start-service-rollout', service: 's', target, durationMs: 1000, at: 0,
		});
		const end = ends[position];
		if (end) {
			state.apply(++index, {
				type: 'service-rollout-step', service: 's', target, state: end, share: 0, reason: '', holdsSessions: false,
			});
		}
	}

	expect(state.serviceRollouts.get('s')?.rejected).toEqual(rejected);
	const copy = new ControlState();
	copy.restore(structuredClone(state.snapshot()));
	expect(copy.serviceRollouts.get('s')?.rejected).toEqual(rejected);
});
