import fc from 'fast-check';
import {expect, it} from 'vitest';
import {EstimateTotals, type LearntReport} from './estimate-totals.js';
import {isotonic} from './isotonic.js';
import {emptyEstimate} from './version-estimate.js';

const halfLifeMs = 1000;

function report(host: string, sequence: number, at: number, ratings: number): LearntReport {
	const estimate = emptyEstimate(at);
	estimate.weight[3] = ratings;
	estimate.rating[3] = ratings / 2;
	return {
		host, incarnation: 1, sequence, estimates: {key: estimate}, quality: {},
	};
}

// Guards against totals that depend on the order, repetition or age of the reports.
it('merges reports in any order and with repetitions to the same sum', () => {
	const reports = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({min: 1, max: 4})), {minLength: 1, maxLength: 12});
	fc.assert(fc.property(reports, fc.integer(), (list, seed) => {
		const all = list.map(([host, sequence]) => report(host, sequence, sequence * 500, sequence * 8));
		const shuffled = [...all, ...all].toSorted((x, y) => ((x.sequence * 7919 * seed) % 13) - ((y.sequence * 7919 * seed) % 13));
		const [first, second] = [all, shuffled].map(order => {
			const totals = new EstimateTotals(halfLifeMs);
			for (const entry of order) {
				totals.add(entry);
			}

			return totals.totalExcluding().estimates.key!;
		});
		expect(second!.at).toBe(first!.at);
		expect(second!.weight[3]).toBeCloseTo(first!.weight[3]!, 9);
	}), {seed: 1});
});

// Guards against a host that counts its own attempts twice.
it('excludes the given incarnation of a host', () => {
	const totals = new EstimateTotals(halfLifeMs);
	totals.add(report('a', 1, 0, 5));
	totals.add(report('b', 1, 0, 7));
	expect(totals.totalExcluding('a', 1).estimates.key!.weight[3]).toBe(7);
	expect(totals.totalExcluding('a', 2).estimates.key!.weight[3]).toBe(12);
});

// Guards against a calibration that decreases with rising confidence.
it('fits non-decreasing values with the same weighted mean', () => {
	const points = fc.array(fc.tuple(fc.double({min: 0, max: 1, noNaN: true}), fc.integer({min: 1, max: 9})), {minLength: 1, maxLength: 20});
	fc.assert(fc.property(points, list => {
		const fitted = isotonic(list.map(([value]) => value), list.map(([, weight]) => weight));
		const mean = (values: number[]) => values.reduce((sum, value, index) => sum + (value * list[index]![1]), 0);
		expect(fitted.every((value, index) => index === 0 || value >= fitted[index - 1]!)).toBe(true);
		expect(mean(fitted)).toBeCloseTo(mean(list.map(([value]) => value)), 9);
	}), {seed: 1});
});
