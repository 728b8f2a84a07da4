import {type PlanOption} from './plan-option.js';

/** Plan options of a class with their expected cost, and the weight of the class among the requests. */
export interface ClassOptions {
	readonly weight: number;
	readonly options: ReadonlyArray<{readonly option: PlanOption; readonly cost: number}>;
}

/** Price before the first solution, high enough that only quality counts. */
export const initialPrice = 1e6;
/** Bisection steps; 40 reduce the relative error of the price far below that of the estimates. */
const bisectionSteps = 40;

/** Option that minimises cost - price × quality, where quality is the lower bound of the rating. */
export function bestOption(options: ClassOptions['options'], price: number): {option: PlanOption; cost: number} | undefined {
	let best: {option: PlanOption; cost: number} | undefined;
	let bestScore = Infinity;
	for (const entry of options) {
		const score = entry.cost - (price * entry.option.lowerBound);
		if (score < bestScore) {
			[best, bestScore] = [entry, score];
		}
	}

	return best;
}

/**
Lowest price of quality (cost per unit of rating) at which the mean quality over all classes reaches the target.

With one price for all classes, each unit of cost is spent where it raises the rating most.
*/
export function solvePrice(classes: readonly ClassOptions[], target: number): number {
	const costs = classes.flatMap(({options}) => options.map(({cost}) => cost));
	if (costs.length === 0) {
		return initialPrice;
	}

	let [low, high] = [Math.log(Math.min(...costs) / 100), Math.log(Math.max(...costs) * 10_000)];
	for (let step = 0; step < bisectionSteps; step++) {
		const middle = (low + high) / 2;
		if (qualityAt(classes, Math.exp(middle)) < target) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return Math.exp(high);
}

function qualityAt(classes: readonly ClassOptions[], price: number): number {
	let [quality, weight] = [0, 0];
	for (const entry of classes) {
		quality += entry.weight * (bestOption(entry.options, price)?.option.lowerBound ?? 0);
		weight += entry.weight;
	}

	return weight === 0 ? 0 : quality / weight;
}
