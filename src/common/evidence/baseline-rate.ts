/** Normal quantile of the upper confidence bound (90 %) of the baseline's failure rate. */
const z = 1.28;
/**
Failure rates of a bad version, as shares of the distance from the healthy rate to 1. The smallest one leaves an
indifference zone: the statistic falls while the rate is closer to the healthy one, so that a moderate drift of the
traffic raises no alarm.
*/
const badSteps: readonly number[] = [0.12, 0.25, 0.4, 0.6];
/** Bounds that keep the likelihood ratio of a single answer finite. */
const rateBounds = {low: 0.005, high: 0.9} as const;

/** Failure rate up to which a version counts as healthy: the upper confidence bound of the baseline's rate. */
export function healthyRate(failures: number, count: number, assumed: number): number {
	// The assumed rate counts as ten answers, so that a few answers without failure do not give a rate of 0.
	const n = count + 10;
	const p = (failures + (assumed * 10)) / n;
	const center = p + (z * z / (2 * n));
	const half = z * Math.sqrt((p * (1 - p) / n) + (z * z / (4 * n * n)));
	const upper = (center + half) / (1 + (z * z / n));
	return Math.min(rateBounds.high, Math.max(rateBounds.low, upper));
}

/** Failure rates of a bad version for a healthy rate, in ascending order. */
export function badRates(healthy: number): number[] {
	return badSteps.map(step => healthy + (step * (1 - healthy)));
}
