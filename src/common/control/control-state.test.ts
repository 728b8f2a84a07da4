import {expect, it} from 'vitest';
import {testDocument, testServer} from '../../testing/control-cluster.js';
import {maxRememberedChanges} from './change-history.js';
import {type ControlCommand} from './control-command.js';
import {ControlState} from './control-state.js';
import {tombstoneMs} from './control-times.js';

const submit = (changeId: string, target = 0.5, baseRevision?: number): ControlCommand => ({
	type: 'submit-document', changeId, baseRevision, document: testDocument('chat', undefined, target),
});
const entry = {
	host: 'e1', address: 'e1:80', peerAddress: 'e1:90', zone: 'a', leaving: false,
};
const joined = (incarnation: number, leaving = false): ControlCommand => ({type: 'entry-joined', entry: {...entry, incarnation, leaving}});
const left = (type: 'entry-leaving' | 'entry-expired', incarnation: number): ControlCommand => ({
	type, host: 'e1', incarnation, at: 0,
});
const announced = (incarnation: number, at = 0): ControlCommand => ({type: 'backend-joined', server: testServer('b1', incarnation), at});
const removed = (type: 'backend-left' | 'backend-expired', incarnation: number, at = 0): ControlCommand => ({
	type, id: 'b1', incarnation, at,
});

function stateAfter(...commands: readonly ControlCommand[]): ControlState {
	const state = new ControlState();
	for (const [index, command] of commands.entries()) {
		state.apply(index + 1, command);
	}

	return state;
}

/** The state of a daemon that was started from a snapshot in JSON form. */
function restoredCopy(state: ControlState): ControlState {
	const copy = new ControlState();
	const text = JSON.stringify(state.snapshot());
	copy.restore(JSON.parse(text));
	return copy;
}

// Guards against resends that are executed again after a restart from a snapshot.
it('remembers change ids, outcomes and conflicts after snapshot and restore', () => {
	const state = stateAfter(submit('c1', 0.5, 0), submit('c2', 0.6, 0));
	const copy = restoredCopy(state);
	for (const machine of [state, copy]) {
		expect(machine.apply(3, submit('c1', 0.5, 0))).toEqual({status: 'accepted', revision: 1});
		expect(machine.apply(4, submit('c2', 0.6, 0))).toMatchObject({
			status: 'conflict', code: 'revision-conflict', revision: 1, current: {quality: {target: 0.5}},
		});
		expect(machine.apply(5, submit('c1', 0.9, 0))).toMatchObject({status: 'conflict', code: 'change-id-reused'});
		expect(machine.documents.get('chat')!.revision).toBe(1);
	}

	expect(copy.snapshot()).toEqual(state.snapshot());
});

// Guards against a snapshot that changes after it was taken, because it shares records with the state.
it('takes snapshots that later commands do not change', () => {
	const state = stateAfter(submit('c1'), joined(1), announced(1));
	const snapshot = state.snapshot();
	const before = JSON.stringify(snapshot);
	const withdraw: ControlCommand = {
		type: 'withdraw-version', changeId: 'w', service: 'chat', ref: 'small@1',
	};
	for (const [index, command] of [withdraw, submit('c2', 0.9), left('entry-leaving', 1), removed('backend-left', 1)].entries()) {
		state.apply(4 + index, command);
	}

	expect(JSON.stringify(snapshot)).toBe(before);
	expect(JSON.stringify(state.snapshot())).not.toBe(before);
});

// Guards against a change history that grows without bound, or removes change ids too early.
it('remembers the last 10,000 change ids', () => {
	const state = stateAfter(...Array.from({length: maxRememberedChanges + 1}, (_, index) => submit(`c${index}`)));
	const next = maxRememberedChanges + 2;
	expect(state.apply(next, submit('c1'))).toEqual({status: 'accepted', revision: 2});
	expect(state.apply(next + 1, submit('c0'))).toEqual({status: 'accepted', revision: next + 1});
});

// Guards against directory entries that reappear, or disappear, because of late or repeated commands.
it.each<[string, readonly ControlCommand[], number | undefined]>([
	['leaves, returns and leaves', [announced(1), removed('backend-left', 1), announced(2), removed('backend-left', 2)], undefined],
	['returns after a leave', [announced(1), removed('backend-left', 1), announced(2)], 2],
	['is announced late after its leave', [announced(1), removed('backend-left', 1), announced(1)], undefined],
	['is announced late after its leave and return', [announced(1), removed('backend-left', 1), announced(2), announced(1)], 2],
	['is announced only after its leave', [removed('backend-left', 1), announced(1)], undefined],
	['has an earlier process that leaves late', [announced(1), announced(2), removed('backend-left', 1)], 2],
	['has an earlier process that expires late', [announced(2), removed('backend-expired', 1)], 2],
	['expires and is announced late', [announced(1), removed('backend-expired', 1), announced(1)], undefined],
	['leaves twice in the wrong order', [announced(2), removed('backend-left', 2), removed('backend-left', 1), announced(2)], undefined],
	['is announced 59 minutes after its leave', [announced(1), removed('backend-left', 1, 0), announced(1, tombstoneMs - 60_000)], undefined],
])('handles a backend server that %s', (_, commands, incarnation) => {
	for (const state of [stateAfter(...commands), restoredCopy(stateAfter(...commands))]) {
		expect(state.backendServers.get('b1')?.incarnation).toBe(incarnation);
	}
});

// Guards against a drain that is cancelled by a resent join, and against expired processes that reappear.
it.each<[string, readonly ControlCommand[], {incarnation: number; leaving: boolean} | undefined]>([
	['drains', [joined(1), left('entry-leaving', 1)], {incarnation: 1, leaving: true}],
	['drains and resends its join', [joined(1), left('entry-leaving', 1), joined(1)], {incarnation: 1, leaving: true}],
	['restarts after a drain', [joined(1), left('entry-leaving', 1), joined(2)], {incarnation: 2, leaving: false}],
	['expires', [joined(1), left('entry-expired', 1)], undefined],
	['expires and resends its join', [joined(1), left('entry-expired', 1), joined(1)], undefined],
	['restarts before its expiry', [joined(1), joined(2), left('entry-expired', 1)], {incarnation: 2, leaving: false}],
	['has an earlier process that joins late', [joined(2), joined(1)], {incarnation: 2, leaving: false}],
])('handles an entry host that %s', (_, commands, expected) => {
	const host = stateAfter(...commands).entryHosts.get('e1');
	expect(host && {incarnation: host.incarnation, leaving: host.leaving}).toEqual(expected);
});

// Guards against a new leader with the same fencing number as an earlier one.
it('raises the fencing number with each leader and keeps it across a snapshot', () => {
	const state = stateAfter(submit('c1'), {type: 'next-fencing', leader: 'v1'}, submit('c2'));
	expect(restoredCopy(state).fencing).toBe(2);
	state.apply(4, {type: 'next-fencing', leader: 'v2'});
	expect(state.fencing).toBe(4);
});

// Guards against a document that re-enables a withdrawn version.
it('keeps a version withdrawn when a later document lists it, also after removal of the service', () => {
	const withdraw: ControlCommand = {
		type: 'withdraw-version', changeId: 'w', service: 'chat', ref: 'small@1',
	};
	const state = stateAfter(submit('c1'), withdraw, submit('c2'));
	expect(state.documents.get('chat')!.withdrawn).toEqual(['small@1']);
	state.apply(4, {type: 'remove-document', changeId: 'r', service: 'chat'});
	for (const machine of [state, restoredCopy(state)]) {
		machine.apply(5, submit('c3'));
		expect(machine.documents.get('chat')!.withdrawn).toEqual(['small@1']);
	}
});
