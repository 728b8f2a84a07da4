import {type VersionCandidate} from './cascade-policy.js';

/** Sorts candidates by price, cheapest first; ties by name, so that all hosts get the same order. */
export function sortByCost(candidates: readonly VersionCandidate[]): VersionCandidate[] {
	return candidates.toSorted((a, b) => (a.outputCost - b.outputCost) || (a.inputCost - b.inputCost) || (a.ref < b.ref ? -1 : 1));
}
