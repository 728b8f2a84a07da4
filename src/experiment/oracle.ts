import {modelOf} from '../common/documents/version-ref.js';
import {type Trace, type TraceHeader, type TraceRequest} from './trace.js';

/** Cost and quality of an assignment that knows each rating in advance. */
export interface OracleResult {
	readonly cost: number;
	readonly quality: number;
	readonly versions: ReadonlyMap<string, number>;
}

type Choice = {ref: string; model: string; cost: number; rating: number};

/** Cost of an answer, in the unit of the prices. */
export function answerCost(header: TraceHeader, request: TraceRequest, ref: string): number {
	const version = header.versions.find(other => other.ref === ref)!;
	return ((request.inputTokens * version.inputCost) + (request.answers[ref]!.outputTokens * version.outputCost)) / 1_000_000;
}

/**
Finds the cheapest assignment of versions to requests, without discarded attempts, whose mean rating reaches the target.

The rules of the policies apply: one version serves a session, and a request may use only one of the two versions of a
roll-out. Here that is the new version from the start of the roll-out, except while it is bad. The problem is solved
with a Lagrange multiplier: no assignment with the same quality is cheaper, and with thousands of requests the quality
exceeds the target by less than 0.001.
*/
export function oracle({header, requests}: Trace): OracleResult {
	const groups = groupChoices(header, requests);
	const count = requests.length;
	let [low, high] = [Math.log(1e-9), Math.log(1e6)];
	let best = assign(groups, Math.exp(high), count);
	for (let step = 0; step < 50; step++) {
		const middle = (low + high) / 2;
		const result = assign(groups, Math.exp(middle), count);
		if (result.quality >= header.qualityTarget) {
			[high, best] = [middle, result];
		} else {
			low = middle;
		}
	}

	return best;
}

function groupChoices(header: TraceHeader, requests: readonly TraceRequest[]): Choice[][] {
	const groups = new Map<string, Choice[]>();
	for (const request of requests) {
		const key = request.session ?? request.id;
		const choices = Object.keys(request.answers).filter(ref => isAllowed(header, request, ref)).map(ref => ({
			ref, model: modelOf(ref), cost: answerCost(header, request, ref), rating: request.answers[ref]!.rating,
		}));
		const group = groups.get(key);
		if (group) {
			for (const choice of choices) {
				const total = group.find(({model}) => model === choice.model);
				if (total) {
					total.cost += choice.cost;
					total.rating += choice.rating;
				}
			}
		} else {
			groups.set(key, choices);
		}
	}

	return [...groups.values()];
}

function isAllowed({rollout, bad}: TraceHeader, {at, requestClass}: TraceRequest, ref: string): boolean {
	if (!rollout || (ref !== rollout.from && ref !== rollout.to)) {
		return true;
	}

	const useNew = at >= rollout.at && !bad?.some(entry => entry.ref === rollout.to && entry.requestClass === requestClass && at >= entry.from);
	return ref === (useNew ? rollout.to : rollout.from);
}

function assign(groups: readonly Choice[][], multiplier: number, count: number): OracleResult {
	let [cost, quality] = [0, 0];
	const versions = new Map<string, number>();
	for (const group of groups) {
		let best = group[0]!;
		for (const choice of group) {
			if (choice.cost - (multiplier * choice.rating) < best.cost - (multiplier * best.rating)) {
				best = choice;
			}
		}

		cost += best.cost;
		quality += best.rating;
		versions.set(best.ref, (versions.get(best.ref) ?? 0) + 1);
	}

	return {cost, quality: quality / count, versions};
}
