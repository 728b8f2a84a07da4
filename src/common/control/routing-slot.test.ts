import {expect, it} from 'vitest';
import {ControlState} from './control-state.js';

// Guards against an older configuration, or another one under the version held, that takes the place of the newest.
it.each([
	{versions: [3, 7], held: 'text 2 of 7'},
	{versions: [7, 3], held: 'text 1 of 7'},
	{versions: [7, 7], held: 'text 1 of 7'},
	{versions: [5, 7, 6, 7], held: 'text 2 of 7'},
])('holds $held after $versions', ({versions, held}) => {
	const state = new ControlState();
	for (const [position, version] of versions.entries()) {
		state.apply(position + 1, {type: 'apply-routing', version, source: `text ${position + 1} of ${version}`});
	}

	expect(state.routing?.source).toBe(held);
	const copy = new ControlState();
	copy.restore(structuredClone(state.snapshot()));
	expect(copy.routing).toEqual(state.routing);
});

// Guards against a repeated order that starts a roll-out anew, and against a second one beside it.
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
