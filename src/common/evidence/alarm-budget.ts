/** Milliseconds of a day. */
export const dayMs = 86_400_000;
/** Number of answers at the start of a day that get half of the budget; bad versions are found within a few dozen to a few hundred answers. */
const concentration = 200;

/** Allocates the false-alarm probability of a healthy version per day to the tests of the version and the answers of the day. */
export class AlarmBudget {
	/**
	@param _perVersionDay - Probability of a false quarantine of a healthy version in a day.
	@param _tests - Number of tests that run on one version: request classes × first and escalated answers × kinds of failure.
	*/
	constructor(private readonly _perVersionDay: number, private readonly _tests: number) {}

	/** False-alarm probability of one test for the n-th answer of the day; over any number of answers the sum is at most the budget of the test. */
	share(answer: number): number {
		const position = answer + concentration;
		return this._perVersionDay / this._tests * concentration / (position * (position + 1));
	}

	/** Threshold of the test statistic for the n-th answer of the day. */
	threshold(answer: number): number {
		return -Math.log(this.share(answer));
	}
}
