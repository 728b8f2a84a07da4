import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {type ControlCommand} from './control-command.js';
import {ControlState} from './control-state.js';

const join = (id: string, changes: Partial<ReturnType<typeof testBackend>> = {}): ControlCommand => ({type: 'backend-joined', server: testBackend(id, changes), at: 0});
const evacuate = (base = 0): ControlCommand => ({
	type: 'evacuate-zone', zone: 'z', base, at: 0,
});
const endEvacuation = (base: number): ControlCommand => ({
	type: 'end-evacuation', zone: 'z', base, at: 0,
});
const warm = (incarnation: number, coldSince: number): ControlCommand => ({type: 'servers-warm', servers: [{id: 'a', incarnation, coldSince}]});

// Guards against servers that are not marked as cold, marks that are lost or taken back although the server has turned cold again,
// and marks of servers that are warm. Each command has the index of its place in the row, from 1.
it.each<{name: string; commands: readonly ControlCommand[]; marks: Readonly<Record<string, readonly [number, number?] | undefined>>}>([
	{name: 'a warm process', commands: [join('a')], marks: {a: undefined}},
	{name: 'a cold process', commands: [join('a', {coldMs: 2000})], marks: {a: [1, 2000]}},
	{name: 'a heartbeat without a time after one with it', commands: [join('a', {coldMs: 2000}), join('a', {isDraining: true})], marks: {a: [1, 2000]}},
	{name: 'a process that turns cold again', commands: [join('a', {coldMs: 2000}), join('a', {coldMs: 1500})], marks: {a: [2, 1500]}},
	{name: 'a warm process after a cold one', commands: [join('a', {coldMs: 2000}), join('a', {incarnation: 2})], marks: {a: undefined}},
	{name: 'an earlier process after a cold one', commands: [join('a', {incarnation: 2, coldMs: 2000}), join('a')], marks: {a: [1, 2000]}},
	{name: 'the end of an evacuation', commands: [join('a'), join('b', {zone: 'y', address: 'b:1'}), evacuate(), endEvacuation(3)], marks: {a: [4], b: undefined}},
	{name: 'an evacuation', commands: [join('a'), evacuate()], marks: {a: undefined}},
	{name: 'the end of an evacuation for a cold process', commands: [join('a', {coldMs: 100}), evacuate(), endEvacuation(2)], marks: {a: [3]}},
	{name: 'a copy of an order that has ended an evacuation', commands: [join('a'), evacuate(), endEvacuation(2), warm(1, 3), endEvacuation(2)], marks: {a: undefined}},
	{name: 'a time stated after the end of an evacuation', commands: [join('a'), evacuate(), endEvacuation(2), join('a', {coldMs: 5000})], marks: {a: [4, 5000]}},
	{name: 'a mark that is taken back', commands: [join('a', {coldMs: 2000}), warm(1, 1)], marks: {a: undefined}},
	{name: 'an earlier mark that is taken back late', commands: [join('a', {coldMs: 2000}), join('a', {coldMs: 1500}), warm(1, 1)], marks: {a: [2, 1500]}},
	{name: 'the mark of an earlier process that is taken back late', commands: [join('a', {coldMs: 2000}), join('a', {incarnation: 2, coldMs: 1500}), warm(1, 2)], marks: {a: [2, 1500]}},
	{
		name: 'a mark of a process that has left', commands: [join('a', {coldMs: 2000}), {
			type: 'backend-left', id: 'a', incarnation: 1, at: 0,
		}, warm(1, 1)], marks: {},
	},
])('marks servers after $name', ({commands, marks}) => {
	const state = new ControlState();
	for (const [index, command] of commands.entries()) {
		state.apply(index + 1, command);
	}

	const restored = new ControlState();
	restored.restore(state.snapshot());
	for (const {backendServers} of [state, restored]) {
		const found = [...backendServers].map(([id, {coldSince, coldMs}]) => [id, coldSince === undefined ? undefined : [coldSince, ...(coldMs === undefined ? [] : [coldMs])]]);
		expect(Object.fromEntries(found)).toEqual(marks);
	}
});
