import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {RecordingCounters} from '../../testing/recording-counters.js';
import {RecordingLogger} from '../../testing/recording-logger.js';
import {backendKey} from '../control/backend-server.js';
import {ReceivedWeights} from './received-weights.js';
import {SpeedEstimates} from './speed-estimates.js';
import {maxItems, processNumber, type SpeedItem} from './speed-messages.js';

const backends = Array.from({length: 6}, (_, index) => testBackend(`s${index}`));
const numbers = backends.map(backend => processNumber(backendKey(backend)));

/** Ratio of a server of which there are no observations. */
const unobserved = 0;

/** Lets hosts report once a second that one server is slower by a factor, and applies the replies at a host. */
async function play(seconds: number, ratiosOf: (host: number, second: number) => readonly number[], {hosts = 10, replies = (second: number) => second >= 0} = {}) {
	const clock = new ManualClock();
	const logger = new RecordingLogger();
	const estimates = new SpeedEstimates({
		clock, logger, counters: new RecordingCounters(), state: {backendServers: new Map(backends.map(backend => [backend.id, backend]))},
	});
	const weights = new ReceivedWeights();
	const firstWeights: number[] = [];
	for (let second = 0; second < seconds; second++) {
		for (let host = 0; host < hosts; host++) {
			const sender = {host: `h${host}`, incarnation: 1};
			const items = ratiosOf(host, second).flatMap((ratio, index): SpeedItem[] => ratio === unobserved ? [] : [[numbers[index]!, 1, Math.round(100 * Math.log(ratio)), 0, 0]]);
			estimates.receive(sender, {seen: weights.seen(1), items});
			const reply = estimates.reply(sender);
			if (reply && host === 0 && replies(second)) {
				weights.apply(1, reply, clock.now());
			}
		}

		firstWeights.push(weights.of({key: backendKey(backends[0]!)}, clock.now()));
		await clock.advance(1000); // eslint-disable-line no-await-in-loop -- one second after the other
	}

	return {all: backends.map(backend => weights.of({key: backendKey(backend)}, clock.now())), firstWeights, logger};
}

const equal = [1, 1, 1, 1, 1, 1];
const slow = [5, 1, 1, 1, 1, 1];

// Guards against weights that do not follow speeds, that follow noise or one host with wrong figures, or that stay without reports.
it.each([
	{
		name: 'equal servers', ratios: () => equal, min: 1, max: 1,
	},
	{
		name: 'a server that is 5 times slower', ratios: () => slow, min: 0.15, max: 0.25,
	},
	{
		name: 'a server beyond the limit', ratios: () => [1000, ...equal.slice(1)], min: 0.14, max: 0.2,
	},
	{
		name: 'a difference within noise', ratios: () => [1.15, ...equal.slice(1)], min: 1, max: 1,
	},
	{
		name: 'a single server that is slower by less than a factor of 2', ratios: () => [1.8, ...equal.slice(1)], min: 1, max: 1,
	},
	{
		name: 'a single server that is slower by more than a factor of 2', ratios: () => [2.3, ...equal.slice(1)], min: 0.4, max: 0.5,
	},
	{
		name: 'a server that is not observed during a burst', ratios: (_host: number, second: number) => second < 8 ? equal : [unobserved, 6, 6, 6, 6, 6], min: 1, max: 1,
	},
	{
		name: 'one host with wrong figures of one server', ratios: (host: number) => host === 3 ? [1000, ...equal.slice(1)] : equal, min: 1, max: 1,
	},
	{
		name: 'one host with wrong figures of all servers', ratios: (host: number) => host === 3 ? equal.map(() => 1000) : equal, min: 1, max: 1,
	},
	{
		name: 'figures that are no numbers', ratios: (host: number) => host === 3 ? [Number.NaN, ...equal.slice(1)] : equal, min: 1, max: 1,
	},
	{
		name: 'reports that have ended', ratios: (_host: number, second: number) => second < 10 ? slow : [], min: 1, max: 1,
	},
	{
		name: 'a server that has recovered', ratios: (_host: number, second: number) => second < 10 ? slow : equal, min: 1, max: 1,
	},
])('weighs $name', async ({ratios, min, max}) => {
	const {all: [first, ...others]} = await play(20, ratios);
	expect(first).toBeGreaterThanOrEqual(min);
	expect(first).toBeLessThanOrEqual(max);
	expect(others).toEqual(equal.slice(1));
});

// Guards against small differences that move no load although two servers and a fifth of all differ, and against those of a single server that do.
it.each([
	{name: 'one of six servers', ratios: [1.5, 1, 1, 1, 1, 1], isWeighted: false},
	{name: 'two of six servers', ratios: [1.5, 1.5, 1, 1, 1, 1], isWeighted: true},
	{name: 'one of four servers', ratios: [1.5, 1, 1, 1], isWeighted: false},
	{name: 'two of four servers', ratios: [0.6, 1.7, 1, 1], isWeighted: true},
])('counts a small difference of $name: $isWeighted', async ({ratios, isWeighted}) => {
	const {all} = await play(20, () => ratios);
	expect(all.map(weight => weight !== 1)).toEqual(equal.map((_, index) => isWeighted && (ratios[index] ?? 1) !== 1));
});

// Guards against a weight that is set and removed again and again, which moves the prompt parts of a server each time.
it('keeps the weight of a single server that is slower by about a factor of 2', async () => {
	const {firstWeights} = await play(100, (_host, second) => [second % 16 < 8 ? 2.6 : 1.65, 1, 1, 1, 1, 1]);
	const changes = firstWeights.filter((weight, index) => index > 0 && (weight === 1) !== (firstWeights[index - 1] === 1));
	expect(changes.length).toBeLessThanOrEqual(1);
});

// Guards against weights that outlive their leader, and against changes that a host misses for good when replies are lost.
it.each([
	{
		name: 'no reply for 7 s', replies: (second: number) => second < 10, min: 1, max: 1,
	},
	{
		name: 'a reply after a pause', replies: (second: number) => second < 6 || second > 15, min: 0.15, max: 0.25,
	},
])('handles $name', async ({replies, min, max}) => {
	const {all: [first], logger} = await play(18, () => slow, {replies});
	expect(first).toBeGreaterThanOrEqual(min);
	expect(first).toBeLessThanOrEqual(max);
	expect(logger.lines.length).toBeLessThanOrEqual(3);
});

// Guards against a leader that searches its directory for each process it does not know, such as those of servers that have left.
it('reads the directory once for many unknown processes', () => {
	let reads = 0;
	const backendServers = new Map(backends.map(backend => [backend.id, backend]));
	const estimates = new SpeedEstimates({
		clock: new ManualClock(), logger: new RecordingLogger(), counters: new RecordingCounters(), state: {
			get backendServers() {
				reads++;
				return backendServers;
			},
		},
	});
	for (let host = 0; host < 10; host++) {
		estimates.receive({host: `h${host}`, incarnation: 1}, {seen: 0, items: Array.from({length: maxItems.report}, (_, index): SpeedItem => [index, 1, 0, 0, 0])});
	}

	expect(reads).toBe(1);
});

// Guards against parts that take more than 1 KB a second of the control traffic.
it('bounds the size of parts', () => {
	const number = 4_294_967_295;
	const report = {seen: 99_999, items: Array.from({length: maxItems.report}, () => [number, 99, -220, 99, -220])};
	const reply = {upTo: 99_999, weights: Array.from({length: maxItems.reply}, () => [number, -19])};
	expect([report, reply].map(part => JSON.stringify(part).length).filter(length => length > 921)).toEqual([]);
});
