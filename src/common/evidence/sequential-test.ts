import {logLikelihoodRatio} from './log-likelihood-ratio.js';

/**
Sequential probability ratio test for a rise of a failure rate at an unknown time (Shiryaev-Roberts form).

For each bad rate, the likelihood ratios of bad to healthy are summed over all possible times of the change. The
statistic is the logarithm of the mean of these sums. While the rate is healthy, the expected sum grows by at most 1
with each call, so the probability of a false alarm up to call n is at most the sum of exp(-threshold) over the calls.
A version that becomes bad late is found as fast as one that is bad from the start.
*/
export class SequentialTest {
	/** Logarithm of the sum for each bad rate. */
	private _logs: number[] | undefined;

	/** Logarithm of the mean sum; -Infinity before the first call of `add`. */
	get statistic(): number {
		return this._logs ? logSum(this._logs) - Math.log(this._logs.length) : -Infinity;
	}

	/** Adds failures and successes, whose order within one call does not matter. */
	add(failures: number, successes: number, healthy: number, badRates: readonly number[]): void {
		const before = this._logs;
		this._logs = badRates.map((bad, index) => {
			const ratio = logLikelihoodRatio(failures, successes, bad, healthy);
			return (before ? logSum([0, before[index]!]) : 0) + ratio;
		});
	}
}

function logSum(values: readonly number[]): number {
	const largest = Math.max(...values);
	return largest + Math.log(values.reduce((sum, value) => sum + Math.exp(value - largest), 0));
}
