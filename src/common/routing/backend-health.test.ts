import {expect, it} from 'vitest';
import {BackendHealth} from './backend-health.js';

/** Records one result every 10 ms: `x` is a failure, `.` a success. @returns the time after the last result. */
function apply(health: BackendHealth, results: string, from = 0): number {
	let now = from;
	for (const result of results) {
		health.record(result === 'x', now, now);
		now += 10;
	}

	return now;
}

// Guards against an ejection on random failures and against keeping a server that fails part of its requests.
it.each([
	['two failures in a row', 'xx', false],
	['three failures in a row', 'xxx', true],
	['failures with successes between', 'xx.xx.', false],
	['more than half of the results failed', 'xx.x.xx.x.xx', true],
	['half of the results failed', 'x.x.x.x.x.x.', false],
])('%s: %s ejects %s', (_, results, isEjected) => {
	const health = new BackendHealth();
	apply(health, results);
	expect(health.isEjected).toBe(isEjected);
});

// Guards against a server that is never used again, and against concurrent trial requests to a server that may be down.
it('allows one trial after the backoff and ends the ejection on success', () => {
	const health = new BackendHealth();
	const now = apply(health, 'xxx');
	expect(health.isAvailable(now)).toBe(false);
	expect(health.isAvailable(now + 2000)).toBe(true);
	health.recordSent(now + 2000);
	expect(health.isAvailable(now + 2001)).toBe(false);
	health.record(false, now + 2000, now + 2100);
	expect([health.isEjected, health.isAvailable(now + 2100)]).toEqual([false, true]);
});

// Guards against trials at a constant rate to a server that is down.
it('doubles the backoff at each failed trial, up to a minute', () => {
	const health = new BackendHealth();
	let now = apply(health, 'xxx');
	const waits: number[] = [];
	for (let trial = 0; trial < 7; trial++) {
		const from = now;
		while (!health.isAvailable(now)) {
			now += 100;
		}

		waits.push(Math.round((now - from) / 1000));
		health.recordSent(now);
		health.record(true, now, now);
	}

	expect(waits).toEqual([2, 4, 8, 16, 32, 60, 60]);
});

// Guards against a late result of a request sent before the ejection that ends or extends the ejection.
it('ignores results of requests sent before the ejection', () => {
	const health = new BackendHealth();
	apply(health, 'xxx', 100);
	health.record(false, 50, 200);
	expect(health.isEjected).toBe(true);
	health.record(true, 50, 200);
	expect(health.isConfirmedDown).toBe(false);
});

// Guards against a lost result that blocks all further trials.
it('allows another trial when a trial times out', () => {
	const health = new BackendHealth();
	const now = apply(health, 'xxx') + 2000;
	health.recordSent(now);
	expect([health.isAvailable(now + 9999), health.isAvailable(now + 10_000)]).toEqual([false, true]);
});
