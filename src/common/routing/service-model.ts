import {type Clock} from '../base/clock.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {type PlanContext} from './cascade-policy.js';
import {ClassModel} from './class-model.js';
import {binOf} from './confidence-bins.js';
import {pinnedSession} from './estimate-key.js';
import {type EstimateStore} from './estimate-store.js';
import {
	bestOption, solvePrice, initialPrice, type ClassOptions,
} from './price-solver.js';
import {QualityController} from './quality-controller.js';
import {RatingSampler} from './rating-sampler.js';

type ClassEntry = {model: ClassModel; requests: number; options: ClassOptions['options']};

/** Time limits of a service model, in milliseconds. */
export interface ServiceModelLimits {
	/** Age at which the class models are rebuilt from the estimates. */
	readonly refreshMs: number;
	/** Half-life of the window over which the quality target must be met. */
	readonly windowMs: number;
}

/** The class models are rebuilt early from this age in milliseconds, if the estimates have changed at least this often and by this share. */
const minRefreshMs = 250;
const minGrowth = 40;
const minGrowthShare = 0.25;

/** Class models, price of quality, realised quality and rating sampler of one service. */
export class ServiceModel {
	readonly quality: QualityController;
	readonly ratingSampler: RatingSampler;
	/** Current price of quality: the cost that one unit of rating may add. */
	price = initialPrice;
	private readonly _classes = new Map<string, ClassEntry>();
	/** Latest model of each class, for predicted ratings. */
	private readonly _latestModels = new Map<string, ClassModel>();
	private _refreshedAt = -Infinity;
	private _storeVersion = -1;

	constructor(private readonly _clock: Clock, private readonly _store: EstimateStore, private readonly _limits: ServiceModelLimits) {
		this.quality = new QualityController(_clock, _limits.windowMs);
		this.ratingSampler = new RatingSampler(_clock);
	}

	/** Model for the class and the candidates of a request; rebuilt when outdated. */
	classModel(context: PlanContext, z: number): ClassModel {
		if (this._isOutdated()) {
			this._refresh(context, z);
		}

		const key = [context.requestClass, ...context.candidates.map(({ref}) => ref)].join(' ');
		let entry = this._classes.get(key);
		if (!entry) {
			entry = this._createEntry(new ClassModel(this._store, {service: context.service, requestClass: context.requestClass, z}, context.candidates));
			this._classes.set(key, entry);
		}

		entry.requests++;
		if (this.price === initialPrice) {
			// After a restart with stored estimates, even the first request needs a solved price.
			this._updatePrice(context, z);
		}

		this._latestModels.set(context.requestClass, entry.model);
		return entry.model;
	}

	/** Predicted rating of an answer from its own confidence, or from that of the rejected answer before it. */
	predict({requestClass, ref, confidence = 0, result, earlier = [], pinned = false}: AttemptOutcome): number {
		if (result === 'empty') {
			return 0;
		}

		const model = this._latestModels.get(requestClass);
		const last = pinned ? {ref: pinnedSession, confidence} : earlier.at(-1);
		return model
			? model.calibration(requestClass, ref, last?.ref).mean[binOf(last?.confidence ?? confidence)]!
			: 0.5;
	}

	/**
	Cheapest version whose lower bound over the current mix of all classes of the service meets the target.

	@returns undefined if there is none.
	*/
	cheapestSufficient(model: ClassModel, target: number): VersionRef | undefined {
		const entries = [...this._classes.values()].filter(({requests}) => requests >= 1);
		return model.candidates.find(({ref}) => {
			let [quality, squares, requests] = [0, 0, 0];
			for (const entry of entries) {
				const single = entry.options.find(({option}) => option.refs.length === 1 && option.refs[0] === ref);
				if (single) {
					quality += entry.requests * single.option.quality;
					squares += (entry.requests * (single.option.quality - single.option.lowerBound)) ** 2;
					requests += entry.requests;
				}
			}

			// The errors of the classes are independent, so their squares add up.
			return requests > 0 && (quality - Math.sqrt(squares)) / requests >= target;
		})?.ref;
	}

	/** Mean predicted rating over all classes with the best plan of each at the current price; for status pages. */
	expectedQuality(): number {
		let [quality, requests] = [0, 0];
		for (const entry of this._classes.values()) {
			quality += entry.requests * (bestOption(entry.options, this.price)?.option.quality ?? 0);
			requests += entry.requests;
		}

		return requests === 0 ? 0 : quality / requests;
	}

	private _isOutdated(): boolean {
		const age = this._clock.now() - this._refreshedAt;
		const growth = this._store.version - this._storeVersion;
		if (age >= this._limits.refreshMs) {
			return growth > 0;
		}

		// The first estimates change fast, and models built from them would be misleading for a whole refresh interval.
		return age >= minRefreshMs && growth >= Math.max(minGrowth, this._storeVersion * minGrowthShare);
	}

	private _refresh(context: PlanContext, z: number): void {
		this._refreshedAt = this._clock.now();
		this._storeVersion = this._store.version;
		for (const [key, entry] of this._classes) {
			// Decays the weight of candidate sets and removes those that are no longer requested.
			entry.requests *= 0.98;
			if (entry.requests < 0.1) {
				this._classes.delete(key);
				continue;
			}

			const requestClass = key.slice(0, key.indexOf(' '));
			const model = new ClassModel(this._store, {service: context.service, requestClass, z}, entry.model.candidates);
			Object.assign(entry, this._createEntry(model), {requests: entry.requests});
		}

		this._updatePrice(context, z);
	}

	private _updatePrice(context: PlanContext, z: number): void {
		const classes = [...this._classes.values()].map(({requests, options}) => ({weight: requests, options}));
		this.price = solvePrice(classes, this.quality.adjustedTarget(context.qualityTarget, z));
	}

	private _createEntry(model: ClassModel): ClassEntry {
		const inputTokens = model.inputTokens();
		return {model, requests: 0, options: model.options.map(option => ({option, cost: optionCost(model, option, inputTokens)}))};
	}
}

/** Expected cost of a plan, including that of rejected first answers. */
export function optionCost(model: ClassModel, {refs, escalationShare}: {refs: readonly string[]; escalationShare: number}, inputTokens: number, maxTokens = Infinity): number {
	let cost = 0;
	for (const [step, ref] of refs.entries()) {
		const candidate = model.candidates.find(other => other.ref === ref)!;
		const outputTokens = Math.min(maxTokens, model.usage(ref).outputTokens);
		cost += (step === 0 ? 1 : escalationShare) * ((inputTokens * candidate.inputCost) + (outputTokens * candidate.outputCost)) / 1_000_000;
	}

	return cost;
}
