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
