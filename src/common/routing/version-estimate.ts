import {binCount} from './confidence-bins.js';

/**
Decayed sums over the attempts of one version, as compact JSON.

The bins are those of the confidence of the version's own answer at step 0, and of the
confidence of the earlier answer at later steps.
*/
export interface VersionEstimate {
	/** Time to which the sums are decayed, in Unix milliseconds. */
	at: number;
	/** Attempts in each bin. */
	answers: number[];
	/** Sum of rating weights in each bin; the weight of a rating is 1 / (probability of being rated). */
	weight: number[];
	/** Sum of squared weights. */
	weightSquares: number[];
	/** Sum of weight × rating. */
	rating: number[];
	/** Sum of weight × rating². */
	ratingSquares: number[];
	/** Attempts, input tokens, output tokens, time to first token (ms) and time for the whole answer (ms), summed. */
	usage: [number, number, number, number, number];
}

/** Estimate without attempts. */
export function emptyEstimate(at: number): VersionEstimate {
	const zeros = () => Array.from({length: binCount}, () => 0);
	return {
		at, answers: zeros(), weight: zeros(), weightSquares: zeros(), rating: zeros(), ratingSquares: zeros(), usage: [0, 0, 0, 0, 0],
	};
}

/** Decays the sums in place to the given time; does nothing if they are already newer. */
export function decayEstimate(estimate: VersionEstimate, at: number, halfLifeMs: number): void {
	if (at <= estimate.at) {
		return;
	}

	const factor = 0.5 ** ((at - estimate.at) / halfLifeMs);
	estimate.at = at;
	for (const sums of sumsOf(estimate)) {
		for (const index of sums.keys()) {
			sums[index]! *= factor;
		}
	}
}

/** Copy of an estimate, decayed to a later time. */
export function estimateAt(estimate: VersionEstimate, at: number, halfLifeMs: number): VersionEstimate {
	const copy: VersionEstimate = {
		at: estimate.at,
		answers: [...estimate.answers],
		weight: [...estimate.weight],
		weightSquares: [...estimate.weightSquares],
		rating: [...estimate.rating],
		ratingSquares: [...estimate.ratingSquares],
		usage: [...estimate.usage],
	};
	decayEstimate(copy, at, halfLifeMs);
	return copy;
}

/** Sum of two estimates at the later of their times; commutative. */
export function mergeEstimates(a: VersionEstimate, b: VersionEstimate, halfLifeMs: number): VersionEstimate {
	const at = Math.max(a.at, b.at);
	const total = estimateAt(a, at, halfLifeMs);
	const others = sumsOf(estimateAt(b, at, halfLifeMs));
	for (const [part, sums] of sumsOf(total).entries()) {
		for (const index of sums.keys()) {
			sums[index]! += others[part]![index]!;
		}
	}

	return total;
}

function sumsOf(estimate: VersionEstimate): number[][] {
	return [estimate.answers, estimate.weight, estimate.weightSquares, estimate.rating, estimate.ratingSquares, estimate.usage];
}
