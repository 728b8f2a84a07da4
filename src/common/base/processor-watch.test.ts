import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {RecordingCounters} from '../../testing/recording-counters.js';
import {RecordingLogger} from '../../testing/recording-logger.js';
import {CallLoad} from './call-load.js';
import {ProcessorWatch} from './processor-watch.js';

// Guards against an overloaded process whose log does not say so, or not what the load is.
it.each([
	{usedMs: 200, lines: 0},
	{usedMs: 390, lines: 1},
])('logs $lines lines for $usedMs ms in a second with a share of 0.4', async ({usedMs, lines}) => {
	const clock = new ManualClock();
	const counters = new RecordingCounters();
	const logger = new RecordingLogger();
	const load = new CallLoad(counters);
	let used = 0;
	const watch = new ProcessorWatch({
		clock, counters, logger, share: 0.4, usedMs: () => used, takeCalls: () => load.take(),
	});
	for (const isGone of [false, true]) {
		load.record({
			method: 'm', receivedBytes: 10, sentBytes: 20, isGone, ageMs: isGone ? 900 : 1,
		});
	}

	used = usedMs;
	await clock.advance(1000);
	watch.dispose();
	expect(logger.lines.map(({message, calls}) => ({message, calls}))).toEqual(lines === 0
		? []
		: [{
			message: 'processor time is nearly used up', calls: {
				m: {
					calls: 2, receivedBytes: 20, sentBytes: 40, gone: 1, oldestMs: 900,
				},
			},
		}]);
	expect(load.take()).toEqual({});
});
