/** Natural logarithm of the likelihood ratio of a bad failure rate to a healthy one. */
export function logLikelihoodRatio(failures: number, successes: number, bad: number, healthy: number): number {
	return (failures * Math.log(bad / healthy)) + (successes * Math.log((1 - bad) / (1 - healthy)));
}
