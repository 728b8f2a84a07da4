import {expect, it} from 'vitest';
import {CrashAnalysis} from './crash-analysis.js';
import {soundMs} from './crash-report.js';

/** Ends of servers: time in milliseconds and the parts that the server ran. */
type Ends = ReadonlyArray<readonly [at: number, ...parts: string[]]>;

const start = 100_000;
const times = (count: number, ...parts: string[]): Ends => Array.from({length: count}, (_, index) => [start + (index * 500), ...parts] as const);

// Guards against blaming a part that only ran beside another one, against not blaming one at all, and against counting one loss of many servers as many.
it.each<{name: string; ends: Ends; sound?: ReadonlyArray<readonly [part: string, at: number]>; known?: string[]; blamed: string[]}>([
	{name: 'one part under three ends', ends: times(3, 'bad'), blamed: ['bad']},
	{name: 'one part under two ends', ends: times(2, 'bad'), blamed: []},
	{name: 'another part beside it at times', ends: [...times(2, 'bad', 'beside'), [start + 5000, 'bad']], blamed: ['bad']},
	{name: 'another part beside it each time', ends: times(3, 'bad', 'beside'), blamed: []},
	{
		name: 'a popular part beside it each time', ends: times(3, 'bad', 'popular'), sound: [['popular', start + 2000]], blamed: ['bad'],
	},
	{
		name: 'a popular part that was answered shortly before', ends: times(3, 'popular'), sound: [['popular', start - (soundMs / 2)]], blamed: [],
	},
	{
		name: 'a part that was sound long ago', ends: times(3, 'bad'), sound: [['bad', start - (2 * soundMs)]], blamed: ['bad'],
	},
	{name: 'many servers that end at one moment', ends: [0, 10, 20, 30, 40, 50].map(ms => [start + ms, 'new'] as const), blamed: []},
	{name: 'two parts with ends of their own', ends: [...times(4, 'bad'), ...times(3, 'worse').map(([at, part]) => [at + 200, part!] as const)], blamed: ['bad', 'worse']},
	{
		name: 'a part beside one that is blamed already', ends: times(4, 'bad', 'beside'), known: ['bad'], blamed: [],
	},
])('blames the parts of $name: $blamed', ({ends, sound = [], known = [], blamed}) => {
	const analysis = new CrashAnalysis();
	const events = [
		...ends.map(([at, ...parts], index) => ({
			at, run() {
				analysis.recordCrash(`s${index}`, at, parts.map(part => [part, 1]));
			},
		})),
		...sound.map(([part, at]) => ({
			at, run() {
				analysis.recordSound(part, at);
			},
		})),
	];
	for (const {run} of events.sort((left, right) => left.at - right.at)) {
		run();
	}

	expect(analysis.blame(new Set(known), start + 10_000).map(({part}) => part)).toEqual(blamed);
});

// Guards against an end that counts more than once, because several hosts report it or a report is repeated.
it('merges the reports of one end', () => {
	const analysis = new CrashAnalysis();
	for (let report = 0; report < 6; report++) {
		analysis.recordCrash('s0', start + (report * 300), [['bad', 1], [`beside ${report}`, 1]]);
	}

	expect(analysis.blame(new Set(), start)).toEqual([]);
});
