import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {MemoryNetwork} from '../../testing/memory-network.js';
import {type Logger} from '../base/logger.js';
import {nullCounters} from '../base/null-counters.js';
import {SeededRandom} from '../base/seeded-random.js';
import {ControlFollower} from './control-follower.js';

// Guards against a host without a leader that says nothing of it, or one line for each of its many tries.
it('logs why it gets no renewal, and not each time', async () => {
	const clock = new ManualClock();
	const network = new MemoryNetwork(clock, new SeededRandom(1));
	const lines: Array<{failures: unknown; text: string}> = [];
	const add = ({failures, err}: Record<string, unknown>, message: string) => {
		lines.push({failures, text: `${message}: ${String(err)}`});
	};

	const logger: Logger = {info: add, warn: add, error: add};
	const follower = new ControlFollower({
		entry: {
			host: 'e', incarnation: 1, address: 'e:80', peerAddress: 'e:90', zone: 'z',
		}, voters: () => ['v1', 'v2'], transport: network.attach('e'), clock, random: new SeededRandom(2), counters: nullCounters, logger,
	});
	follower.start();
	await clock.advance(20_000);
	follower.dispose();
	expect(lines.slice(0, 2).map(({failures}) => failures)).toEqual([1, 11]);
	expect(lines[0]!.text).toContain('renewal failed: PeerTimeoutError');
	expect(lines.length).toBeLessThan(20);
});
