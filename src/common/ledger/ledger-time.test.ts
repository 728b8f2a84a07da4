import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {LedgerTime} from './ledger-time.js';

const origin = 1_800_000_000_000;
const hour = 3_600_000;

// Guards against a wrong clock of a new leader that expires all keys and pins, and against a ledger time that stops.
// Times are relative to `origin`. `atStart` is the ledger time at the start of the term; `applied` is the ledger time after
// further commands were applied in this term.
it.each<{name: string; atStart: number; applied?: number; elapsedMs: number; expected: number}>([
	{
		name: 'the first command of the ledger', atStart: -origin, elapsedMs: 0, expected: 0,
	},
	{
		name: 'a correct clock', atStart: -2000, elapsedMs: 5000, expected: 5000,
	},
	{
		name: 'an hour without commands', atStart: 0, elapsedMs: hour, expected: hour,
	},
	{
		name: 'a clock two days ahead', atStart: -48 * hour, elapsedMs: hour, expected: (-46 * hour) + 10_000,
	},
	{
		name: 'an outage of one hour, a minute after its end', atStart: -hour, elapsedMs: 60_000, expected: -hour + 130_000,
	},
	{
		name: 'an outage of one hour, another hour after its end', atStart: -hour, elapsedMs: hour, expected: hour,
	},
	{
		name: 'commands of an earlier term that are applied after the start of the term', atStart: -hour, applied: -1000, elapsedMs: 0, expected: 0,
	},
])('stamps the expected time: $name', ({atStart, applied = atStart, elapsedMs, expected}) => {
	const state = {time: origin + atStart};
	let now = 0;
	const clock = Object.assign(new ManualClock(), {now: () => now, wallTime: () => origin + now});
	const time = new LedgerTime(clock, state);
	time.startTerm();
	now = elapsedMs;
	state.time = origin + applied;
	expect(time.stamp()).toBe(origin + expected);
});
