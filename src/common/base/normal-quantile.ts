/**
Quantile of the standard normal distribution for a probability in (0, 1).

Rational approximation 26.2.23 of Abramowitz and Stegun; absolute error below 4.5e-4.
*/
export function normalQuantile(probability: number): number {
	const tail = Math.min(probability, 1 - probability);
	if (tail <= 0) {
		return probability <= 0 ? -Infinity : Infinity;
	}

	const t = Math.sqrt(-2 * Math.log(tail));
	const numerator = 2.515_517 + (t * (0.802_853 + (t * 0.010_328)));
	const denominator = 1 + (t * (1.432_788 + (t * (0.189_269 + (t * 0.001_308)))));
	const value = t - (numerator / denominator);
	return probability < 0.5 ? -value : value;
}
