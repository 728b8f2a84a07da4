import {expect, it} from 'vitest';
import {ProcessorWatch} from '../common/base/processor-watch.js';
import {nullLogger} from '../common/base/null-logger.js';
import {ManualClock} from '../testing/manual-clock.js';
import {PrometheusCounters} from './prometheus-counters.js';

// Guards against a metric that ends the process: most are recorded in timers and events outside of any request.
it.each<{name: string; record: (counters: PrometheusCounters) => void}>([
	{
		name: 'a counter that decreases', record(counters) {
			counters.increment('a', -1);
		},
	},
	{
		name: 'a counter without a number', record(counters) {
			counters.increment('a', Number.NaN);
		},
	},
	{
		name: 'an endless duration', record(counters) {
			counters.timing('b', Infinity);
		},
	},
	{
		name: 'other tags than before', record(counters) {
			counters.increment('c', 1, {other: 'x'});
		},
	},
	{
		name: 'the name of another kind of metric', record(counters) {
			counters.gauge('c.total', 1);
		},
	},
])('drops and counts $name', async ({record}) => {
	const counters = new PrometheusCounters();
	counters.increment('c', 1, {service: 's'});
	record(counters);
	counters.increment('c', 1, {service: 's'});
	const text = await counters.text();
	expect(text).toContain('catkinbeam_metrics_dropped_total 1');
	expect(text).toContain('catkinbeam_c_total{service="s"} 2');
});

// Guards against a process that ends because its processor time is corrected downwards.
it('goes on when the processor time decreases', async () => {
	const clock = new ManualClock();
	const counters = new PrometheusCounters();
	const used = [100, 60, 90];
	const watch = new ProcessorWatch({
		clock, counters, logger: nullLogger, share: 1, usedMs: () => used.shift() ?? 90, takeCalls: () => ({}),
	});
	await clock.advance(2500);
	watch.dispose();
	expect(await counters.text()).toContain('catkinbeam_process_processor_ms_total 30');
});
