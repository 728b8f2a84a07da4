import {type Clock} from '../base/clock.js';

/** Decayed sums over delivered answers and their ratings; the sums of several hosts can be added. */
export interface QualitySums {
	answers: number;
	predicted: number;
	weight: number;
	weightSquares: number;
	residual: number;
	residualSquares: number;
	rated: number;
}

/** Adds the sums of two hosts. */
export function addQualitySums(a: QualitySums, b: QualitySums): QualitySums {
	const total = {...a};
	for (const key of Object.keys(total) as Array<keyof QualitySums>) {
		total[key] += b[key];
	}

	return total;
}

/**
Factors on the shortfall or surplus over the window that give the correction of the target. A shortfall is compensated
within a twelfth of the requests of the window. A surplus is spent more slowly, because a gain of 8 for both missed
the target in 2 of 20 runs.
*/
const gain = {shortfall: 12, surplus: 4} as const;
/** Bounds of the correction, in units of rating; wider ones cost more, because the cost of quality is convex. */
const correctionLimits = {low: -0.03, high: 0.05} as const;
/** Number of answers below which a surplus is not spent. */
const minAnswers = 200;

/**
Estimates the realised quality of a service over a decaying window, and adjusts the quality target by its lower confidence bound.

The estimate is the mean predicted rating of the delivered answers, corrected by the
inverse-probability weighted residuals of the rated ones, so unrated answers add no bias.
*/
export class QualityController {
	private readonly _local = emptyQualitySums();
	private _shared = emptyQualitySums();

	private _at: number;

	constructor(private readonly _clock: Clock, private readonly _halfLifeMs: number) {
		this._at = _clock.now();
	}

	/** Adds a delivered answer with its predicted rating. */
	addAnswer(predicted: number): void {
		this._decay();
		this._local.answers += 1;
		this._local.predicted += predicted;
	}

	/** Adds the rating of a delivered answer; `probability` is that of being rated. */
	addRating(rating: number, predicted: number, probability: number): void {
		this._decay();
		const weight = 1 / Math.max(0.01, probability);
		const residual = rating - predicted;
		this._local.rated += 1;
		this._local.weight += weight;
		this._local.weightSquares += weight * weight;
		this._local.residual += weight * residual;
		this._local.residualSquares += weight * residual * residual;
	}

	/** Sums of this host. */
	exportLocal(): QualitySums {
		this._decay();
		return {...this._local};
	}

	/** Replaces the sums received from the other hosts. They must not include those of this host. */
	importShared(sums: QualitySums): void {
		this._decay();
		this._shared = {...sums};
	}

	/** Estimated mean rating over the window with its standard error. */
	realised(): {mean: number; error: number; answers: number} {
		const {answers, predicted, weight, weightSquares, residual, residualSquares, rated} = addQualitySums(this._local, this._shared);
		if (answers === 0 || weight === 0) {
			return {mean: answers === 0 ? 0 : predicted / answers, error: 0.5, answers};
		}

		const bias = residual / weight;
		const variance = Math.max(0.0025, (residualSquares / weight) - (bias * bias));
		const effective = (weight * weight) / weightSquares;
		const unrated = Math.max(0, 1 - (rated / answers));
		return {mean: (predicted / answers) + bias, error: Math.sqrt(variance * unrated / effective), answers};
	}

	/** Target for the next requests, so that the lower bound over the window reaches the configured target. */
	adjustedTarget(target: number, z: number): number {
		const {mean, error, answers} = this.realised();
		const shortfall = target - (mean - (z * error));
		const correction = shortfall * (shortfall > 0 ? gain.shortfall : gain.surplus);
		const low = answers < minAnswers ? 0 : correctionLimits.low;
		return target + Math.min(correctionLimits.high, Math.max(low, correction));
	}

	private _decay(): void {
		const now = this._clock.now();
		const factor = 0.5 ** ((now - this._at) / this._halfLifeMs);
		this._at = now;
		for (const key of Object.keys(this._local) as Array<keyof QualitySums>) {
			this._local[key] *= factor;
			this._shared[key] *= factor;
		}
	}
}

function emptyQualitySums(): QualitySums {
	return {
		answers: 0, predicted: 0, weight: 0, weightSquares: 0, residual: 0, residualSquares: 0, rated: 0,
	};
}
