import {expect, it} from 'vitest';
import {LocalLog} from '../../testing/local-log.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {MemoryNetwork} from '../../testing/memory-network.js';
import {nullCounters} from '../base/null-counters.js';
import {nullLogger} from '../base/null-logger.js';
import {SeededRandom} from '../base/seeded-random.js';
import {plainTextCodec} from '../base/text-codec.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {ControlState} from './control-state.js';
import {RoutingContents} from './routing-contents.js';
import {RoutingFetcher} from './routing-fetcher.js';
import {type RoutingRecord} from './routing-record.js';

// Guards against a host that starts its transfer again with each change, and gets no configuration while changes come faster than one is received.
it.each([
	{
		name: 'several parts', routes: 10_000, delayMs: 50, settleMs: 200,
	},
	{
		name: 'a text of which control hosts keep few versions', routes: 80_000, delayMs: 6, settleMs: 2000,
	},
])('completes a transfer of $name while further changes come', async ({routes, delayMs, settleMs}) => {
	const clock = new ManualClock();
	const random = new SeededRandom(37);
	const network = new MemoryNetwork(clock, random);
	network.faults.minDelayMs = delayMs;
	network.faults.maxDelayMs = delayMs;
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('v', state);
	const contents = new RoutingContents({
		log, state, transport: network.attach('v'), clock, codec: plainTextCodec, isLeading: () => true,
	});
	let current: RoutingRecord | undefined;
	const fetcher = new RoutingFetcher({
		transport: network.attach('e'), voters: () => ['v'], leader: () => undefined, isSlow: () => false, clock, random, counters: nullCounters, logger: nullLogger, codec: plainTextCodec, current: () => current,
		onFetched(record) {
			current = record;
		},
	});
	const lines = Array.from({length: routes}, (_, at) => `{route ${at} /p${at * 7919}/ with a time-out of 8000 ms}`);
	for (let version = 1; version <= 12; version++) {
		await log.propose({type: 'apply-routing', version, source: [`{version ${version}}`, ...lines].join('\n')}); // eslint-disable-line no-await-in-loop -- versions follow each other
		fetcher.request(state.routing!.revision);
		await clock.advance(300); // eslint-disable-line no-await-in-loop -- versions follow each other
	}

	expect(current).toBeDefined();
	await clock.advance(settleMs);
	expect(current?.version).toBe(12);
	fetcher.dispose();
	contents.dispose();
});

// Guards against a configuration that arrives late because its content is requested from a host that stands still.
it('asks hosts of which no call has timed out', async () => {
	const clock = new ManualClock();
	const random = new SeededRandom(1);
	const asked = new Set<string>();
	for (let index = 0; index < 20; index++) {
		const fetcher = new RoutingFetcher({
			transport: {
				self: 'e',
				async call(peer) {
					asked.add(peer);
					return new Promise<never>(() => {
						// Never settled.
					});
				},
				handle: () => ({dispose: () => undefined}),
			},
			voters: () => ['a', 'b', 'c', 'd'], leader: () => 'a', isSlow: host => host === 'b', clock, random, counters: nullCounters, logger: nullLogger, codec: plainTextCodec, current: () => undefined, onFetched: () => undefined,
		});
		fetcher.request(1);
		fetcher.dispose();
	}

	expect([...asked].sort()).toEqual(['c', 'd']);
});
