import {weightStep} from './speed-messages.js';

/** Smallest difference, as a logarithm, from which a server has a weight other than 1: 25 %. */
const deadBand = Math.log(1.25);
/** The same in standard errors of the estimate, so that chance moves no load when there are few observations. */
const deadBandErrors = 3;
/** Fraction of the dead band below which a weight returns to 1. */
const returnFraction = 0.6;
/** Difference in steps from which a weight changes; a smaller one lets noise move weights more often. */
const minStepChange = 2;
/** Limits of the weights: a slower server still gets requests that show when it has recovered, and a faster one is not flooded by a wrong estimate. */
const limits = {min: Math.log(0.15), max: Math.log(3)} as const;

/**
Returns the level of a server's weight, in steps of `weightStep`.

@param slowness Logarithm of the server's time relative to the other servers of its service.
@param error Standard error of `slowness`.
@param current Present level.
*/
export function weightLevel(slowness: number, error: number, current: number): number {
	const band = Math.max(deadBand, deadBandErrors * error) * (current === 0 ? 1 : returnFraction);
	if (!(Math.abs(slowness) >= band)) {
		return 0;
	}

	const exact = Math.min(limits.max, Math.max(limits.min, -slowness)) / weightStep;
	return current !== 0 && Math.abs(exact - current) < minStepChange ? current : Math.round(exact);
}
