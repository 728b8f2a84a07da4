import {expect, it} from 'vitest';
import {type ReleaseCounts} from './release-evidence.js';
import {ReleaseTotals} from './release-totals.js';

function counts(sent: number, release = 'new'): ReleaseCounts {
	return {
		rollout: 1, service: 's', release, route: 'r', sent, answers: sent, failures: 0, broken: 0, headMs: [0, sent], paceUs: [sent],
	};
}

// Guards against evidence that counts twice when a message is repeated or late, and against evidence that a restart erases.
it.each<{name: string; messages: Array<[string, number, ReleaseCounts]>; sent: Record<string, number>}>([
	{name: 'cumulative messages of two hosts', messages: [['a', 1, counts(2)], ['b', 1, counts(3)], ['a', 1, counts(5)]], sent: {new: 8}},
	{name: 'a repeated and a late message', messages: [['a', 1, counts(5)], ['a', 1, counts(5)], ['a', 1, counts(2)]], sent: {new: 5}},
	{name: 'a restarted host', messages: [['a', 1, counts(5)], ['a', 2, counts(1)]], sent: {new: 6}},
	{name: 'two releases', messages: [['a', 1, counts(5)], ['a', 1, counts(7, 'old')]], sent: {new: 5, old: 7}},
])('sums $name', ({messages, sent}) => {
	const totals = new ReleaseTotals();
	for (const [host, incarnation, row] of messages) {
		totals.receive({host, incarnation}, row);
	}

	const rows = [...totals.rows];
	expect(Object.fromEntries(rows.map(({release, sent: count}) => [release, count]))).toEqual(sent);
	expect(rows.every(({sent: count, headMs, paceUs}) => headMs[1] === count && paceUs[0] === count)).toBe(true);
});
