import {expect, it} from 'vitest';
import {testServer} from '../../testing/control-cluster.js';
import {type ControlCommand} from './control-command.js';
import {ControlState} from './control-state.js';

type Order = readonly [type: 'evacuate' | 'end', base: number, outcome: 'accepted' | 'evacuation-changed', zone?: string];

const command = (type: Order[0], base: number, zone = 'z', at = 0): ControlCommand => ({
	type: type === 'evacuate' ? 'evacuate-zone' : 'end-evacuation', zone, base, at,
});

const joined = (id: string, zone: string, incarnation = 1): ControlCommand => ({type: 'backend-joined', server: {...testServer(id, incarnation), zone}, at: 0});

/** The state of a host that was started from a snapshot in JSON form. */
function restoredCopy(state: ControlState): ControlState {
	const copy = new ControlState();
	const text = JSON.stringify(state.snapshot());
	copy.restore(JSON.parse(text));
	return copy;
}

const cases: ReadonlyArray<{readonly name: string; readonly orders: readonly Order[]; readonly active: readonly string[]}> = [
	{name: 'an order', orders: [['evacuate', 0, 'accepted']], active: ['z']},
	{name: 'an order and its withdrawal', orders: [['evacuate', 0, 'accepted'], ['end', 1, 'accepted']], active: []},
	{name: 'an order that was sent again to a host that has applied it', orders: [['evacuate', 0, 'accepted'], ['evacuate', 1, 'accepted']], active: ['z']},
	{name: 'an order that was sent again to a host that is behind', orders: [['evacuate', 0, 'accepted'], ['evacuate', 0, 'accepted']], active: ['z']},
	{name: 'an order for each of two zones', orders: [['evacuate', 0, 'accepted'], ['evacuate', 0, 'accepted', 'y'], ['end', 1, 'accepted']], active: ['y']},
	{name: 'a late copy of an order after its withdrawal', orders: [['evacuate', 0, 'accepted'], ['end', 1, 'accepted'], ['evacuate', 0, 'evacuation-changed']], active: []},
	{
		name: 'a late copy of a withdrawal after a new order',
		orders: [['evacuate', 0, 'accepted'], ['end', 1, 'accepted'], ['evacuate', 2, 'accepted'], ['end', 1, 'evacuation-changed']],
		active: ['z'],
	},
	{name: 'a withdrawal through a host that is behind', orders: [['evacuate', 0, 'accepted'], ['end', 0, 'evacuation-changed'], ['end', 1, 'accepted']], active: []},
	{name: 'a withdrawal without an order', orders: [['end', 0, 'accepted']], active: []},
	{name: 'an order that arrives only after its withdrawal', orders: [['end', 0, 'accepted'], ['evacuate', 0, 'evacuation-changed']], active: []},
	{
		name: 'a second order that arrives only after its withdrawal through a host that is behind',
		orders: [['evacuate', 0, 'accepted'], ['end', 1, 'accepted'], ['end', 1, 'accepted'], ['evacuate', 2, 'evacuation-changed']],
		active: [],
	},
	{name: 'a withdrawal that is overtaken by a repeated order', orders: [['evacuate', 0, 'accepted'], ['evacuate', 1, 'accepted'], ['end', 1, 'evacuation-changed']], active: ['z']},
	{name: 'crossing orders of two operators, both from the same state', orders: [['evacuate', 0, 'accepted'], ['end', 1, 'accepted'], ['evacuate', 1, 'evacuation-changed']], active: []},
];

// Guards against a late copy or a crossing order that undoes a later one, and against a repeated order that is refused.
it.each(cases)('applies $name', ({orders, active}) => {
	for (const isRestored of [false, true]) {
		let state = new ControlState();
		for (const [index, [type, base, outcome, zone]] of orders.entries()) {
			const {status, ...result} = state.apply(index + 1, command(type, base, zone));
			expect('code' in result ? result.code : status).toBe(outcome);
			state = isRestored ? restoredCopy(state) : state;
		}

		expect([...state.evacuatedZones]).toEqual(active);
		expect(restoredCopy(state).snapshot()).toEqual(state.snapshot());
	}
});

// Guards against an evacuation that seems to begin anew with each resend, and against a set of zones that changes in place.
it('keeps the time and the set of zones when an order is repeated', () => {
	const state = new ControlState();
	state.apply(1, command('evacuate', 0, 'z', 1000));
	const zones = state.evacuatedZones;
	state.apply(2, command('evacuate', 1, 'z', 2000));
	expect(state.evacuations.get('z')).toEqual({
		zone: 'z', isActive: true, revision: 2, at: 1000,
	});
	expect(state.evacuatedZones).toBe(zones);
	state.apply(3, command('end', 2, 'z', 3000));
	expect([...zones]).toEqual(['z']);
	expect(state.evacuations.get('z')).toMatchObject({isActive: false, at: 3000});
});

// Guards against a snapshot of an earlier release that cannot be restored, or that leaves the orders of the earlier state in place.
it('restores a snapshot without evacuations', () => {
	const state = new ControlState();
	state.apply(1, command('evacuate', 0));
	const {evacuations: _, ...earlier} = new ControlState().snapshot();
	state.restore(earlier);
	expect([...state.evacuatedZones, ...state.evacuations]).toEqual([]);
	expect(state.apply(1, command('evacuate', 0))).toEqual({status: 'accepted', revision: 1});
});

// Guards against orders that grow the state without limit.
it('keeps the orders of 1,000 zones', () => {
	const state = new ControlState();
	for (let index = 1; index <= 1000; index++) {
		state.apply(index, command('evacuate', 0, `z${index}`));
	}

	expect(state.apply(1001, command('evacuate', 0, 'one-more'))).toMatchObject({status: 'rejected', code: 'too-many-zones'});
	expect(state.apply(1002, command('end', 1, 'z1'))).toMatchObject({status: 'accepted'});
});

// Guards against servers that get their full load although they turned cold while they got none, and against marks without a cause.
it.each<{name: string; commands: readonly ControlCommand[]; coldSince: Record<string, number | undefined>}>([
	{name: 'an order', commands: [joined('a', 'z'), command('evacuate', 0)], coldSince: {a: undefined}},
	{name: 'a withdrawal', commands: [joined('a', 'z'), joined('b', 'y'), command('evacuate', 0), command('end', 3)], coldSince: {a: 4, b: undefined}},
	{name: 'a withdrawal without an order', commands: [joined('a', 'z'), command('end', 0)], coldSince: {a: undefined}},
	{name: 'a repeated withdrawal', commands: [joined('a', 'z'), command('evacuate', 0), command('end', 2), command('end', 3)], coldSince: {a: 3}},
	{name: 'an overtaken withdrawal', commands: [joined('a', 'z'), command('evacuate', 0), command('end', 0)], coldSince: {a: undefined}},
	{name: 'a server that joins during the evacuation', commands: [command('evacuate', 0), joined('a', 'z'), command('end', 1)], coldSince: {a: 3}},
	{name: 'a server that joins after the withdrawal', commands: [command('evacuate', 0), command('end', 1), joined('a', 'z')], coldSince: {a: undefined}},
	{name: 'a new process after the withdrawal', commands: [joined('a', 'z'), command('evacuate', 0), command('end', 2), joined('a', 'z', 2)], coldSince: {a: undefined}},
	{name: 'an announcement after the withdrawal', commands: [joined('a', 'z'), command('evacuate', 0), command('end', 2), joined('a', 'z')], coldSince: {a: 3}},
])('marks the servers of the zone as cold after $name', ({commands, coldSince}) => {
	const state = new ControlState();
	for (const [index, applied] of commands.entries()) {
		state.apply(index + 1, applied);
	}

	for (const {backendServers} of [state, restoredCopy(state)]) {
		expect(Object.fromEntries([...backendServers.values()].map(server => [server.id, server.coldSince]))).toEqual(coldSince);
	}
});
