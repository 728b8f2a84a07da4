import {expect, it} from 'vitest';
import {HostShares} from './host-shares.js';

/** Lets 10 hosts report one observation a second each, and another host 16, with a drop of old counts after each second. @returns the observations of the other host that count, by second. */
function play(seconds: number, countsOf: (second: number) => number = () => 1): number[] {
	const shares = new HostShares();
	return Array.from({length: seconds}, (_, second) => {
		const now = second * 1000;
		for (let host = 0; host < 10; host++) {
			shares.accept(`h${host}`, countsOf(second), 11, now);
		}

		const accepted = shares.accept('other', 16, 11, now);
		shares.prune(now);
		return accepted;
	});
}

// Guards against one host that decides the estimate of a server, also after the counts have decayed for long.
it('limits a host to twice the mean of the others', () => {
	const accepted = play(5000).slice(100);
	expect(Math.max(...accepted)).toBeLessThan(2.05);
	expect(Math.min(...accepted)).toBeGreaterThan(1.95);
});

// Guards against a limit that stays at the earlier counts of hosts that no longer report.
it('limits a host to two observations when the others report none', () => {
	const accepted = play(400, second => second < 100 ? 1 : 0).slice(300);
	expect(accepted.reduce((sum, count) => sum + count, 0) / 100).toBeLessThan(0.1);
});

// Guards against a decay that reaches 0, by which counts would be divided, when no host reports for a night.
it('limits hosts again after a night without reports', () => {
	const shares = new HostShares();
	shares.accept('other', 16, 11, 0);
	expect([1, 2].map(count => shares.accept('other', count, 11, 86_400_000))).toEqual([1, 1]);
});
