import {type Clock} from '../base/clock.js';
import {normalQuantile} from '../base/normal-quantile.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {type CascadePolicy, type PlanContext} from './cascade-policy.js';
import {type ClassModel} from './class-model.js';
import {allClasses} from './estimate-key.js';
import {EstimateStore} from './estimate-store.js';
import {type LearntState} from './estimate-totals.js';
import {ExplorationBudget} from './exploration-budget.js';
import {type LearningSettings} from './learning-settings.js';
import {type Plan} from './plan.js';
import {type PlanOption} from './plan-option.js';
import {bestOption} from './price-solver.js';
import {optionCost, ServiceModel} from './service-model.js';

/** Effective ratings below which a version is explored: over all classes, in the class of the request, and after each cheaper version. */
const minRatings = {pooled: 80, inClass: 15, pair: 30} as const;
/** Share of the other answers that are rated while the cheapest version has too few ratings. */
const initialRatingShare = 0.05;
/** Maximum number of attempts kept to match late ratings and to ignore repeated ones; the oldest are evicted first. */
const maxTrackedAttempts = 50_000;

type PlanningState = {service: ServiceModel; model: ClassModel; context: PlanContext};

/**
Chooses the plan with the lowest expected cost that meets the quality target. Costs and quality are learnt from rated answers.

All classes of a service share one price of quality. A controller adjusts the target of the price solver so that the
lower bound of the realised quality meets the configured target. An exploration sends a request to several versions,
cheapest first, and delivers the answer of the last one: it adds cost, but never lowers the quality.
*/
export class LearningCascadePolicy implements CascadePolicy {
	private readonly _store: EstimateStore;
	private readonly _services = new Map<string, ServiceModel>();
	private readonly _exploration: ExplorationBudget;
	/** Predicted ratings of delivered answers that may still be rated, by attempt. */
	private readonly _predictedRatings = new Map<string, number>();
	private readonly _ratedAttempts = new Set<string>();
	private readonly _quantiles = new Map<number, number>();

	constructor(private readonly _clock: Clock, private readonly _settings: LearningSettings) {
		this._store = new EstimateStore(_clock, _settings.halfLifeMs);
		this._exploration = new ExplorationBudget(_settings.exploration);
	}

	plan(context: PlanContext): Plan {
		const {candidates, pinned} = context;
		const [only] = candidates;
		if (!only) {
			return {steps: [], reason: 'no-candidate'};
		}

		const z = this._quantile(context.qualityConfidence);
		const service = this._service(context.service);
		const model = service.classModel(context, z);
		const state = {service, model, context};
		if (pinned !== undefined) {
			return this._createPlan(state, {refs: [pinned]}, 'pinned');
		}

		if (candidates.length === 1) {
			return this._createPlan(state, {refs: [only.ref]}, 'only-candidate');
		}

		if (!context.ratingAvailable) {
			return this._singleStepPlan(state, 'rating-unavailable');
		}

		if (context.urgency === 'urgent') {
			return this._singleStepPlan(state, 'urgent-direct');
		}

		if (context.singleStep) {
			return this._singleStepPlan(state, 'session-start');
		}

		return this._optimisedPlan(state);
	}

	observe(outcome: AttemptOutcome): void {
		if (outcome.rating === undefined) {
			this._observeAttempt(outcome);
		} else if (!this._ratedAttempts.has(outcome.attemptId)) {
			this._observeRating(outcome, outcome.rating);
		}
	}

	/** Learnt state of this host, for the leader; cumulative since the start of the process. */
	exportEstimates(): LearntState {
		const quality = Object.fromEntries([...this._services].map(([name, service]) => [name, service.quality.exportLocal()]));
		return {estimates: this._store.exportLocal(), quality};
	}

	/** Replaces the learnt state received from the other hosts. */
	importEstimates({estimates, quality}: LearntState): void {
		this._store.importShared(estimates);
		for (const [name, sums] of Object.entries(quality)) {
			this._service(name).quality.importShared(sums);
		}
	}

	/** Realised quality, price of quality and pending ratings of a service, for status pages. */
	status(service: string): {quality: number; error: number; price: number; expected: number; pendingRatings: number} {
		const model = this._service(service);
		const {mean, error} = model.quality.realised();
		return {
			quality: mean, error, price: model.price, expected: model.expectedQuality(), pendingRatings: model.ratingSampler.pending,
		};
	}

	private _optimisedPlan(state: PlanningState): Plan {
		const {service, model, context} = state;
		const options = model.options.filter(option => this._meetsDeadline(model, option.refs, context));
		const isSingleStepOnly = options.every(({refs}) => refs.length === 1);
		if (isSingleStepOnly) {
			return this._singleStepPlan(state, 'deadline-direct');
		}

		this._exploration.addRequest();
		const chain = context.startsSession ? [] : this._explorationChain(state);
		if (chain.length > 0 && this._meetsDeadline(model, chain, context) && this._exploration.tryTake()) {
			return this._createPlan(state, {refs: chain, minConfidence: 1}, 'explore');
		}

		const costed = options.map(option => ({option, cost: this._cost(model, option, context)}));
		const best = bestOption(costed, service.price)!.option;
		return this._createPlan(state, {refs: best.refs, minConfidence: best.minConfidence}, best.refs.length === 1 ? 'cheapest-sufficient' : 'cascade');
	}

	private _singleOptions(model: ClassModel, context: PlanContext): readonly PlanOption[] {
		const singles = model.options.filter(({refs}) => refs.length === 1);
		const inTime = singles.filter(option => expectedLatencyMs(model, option, context) <= context.deadlineMs);
		return inTime.length > 0 ? inTime : singles;
	}

	private _cost(model: ClassModel, option: PlanOption, context: PlanContext): number {
		const latencyCost = this._settings.latencyCost === 0 ? 0 : this._settings.latencyCost * expectedLatencyMs(model, option, context) / 1000;
		return optionCost(model, option, context.inputTokens, context.maxTokens) + latencyCost;
	}

	/** Plan with the cheapest version whose lower bound meets the target, or else with the version that has the highest lower bound. */
	private _singleStepPlan(state: PlanningState, reason: string): Plan {
		const {service, model, context} = state;
		const found = service.cheapestSufficient(model, context.qualityTarget);
		if (found !== undefined) {
			return this._createPlan(state, {refs: [found]}, reason);
		}

		const [best] = this._singleOptions(model, context).toReversed().toSorted((a, b) => b.lowerBound - a.lowerBound);
		return this._createPlan(state, {refs: best!.refs}, `${reason}-best`);
	}

	private _createPlan({service, model, context}: PlanningState, {refs, minConfidence}: {refs: readonly string[]; minConfidence?: number}, reason: string): Plan {
		const ratingProbability = context.ratingAvailable ? service.ratingSampler.probability(this._desiredRatingProbability(model, refs, reason)) : 0;
		const last = refs.length - 1;
		return {
			steps: refs.map((ref, step) => step < last ? {ref, minConfidence, ratingProbability} : {ref, ratingProbability}),
			reason,
		};
	}

	private _desiredRatingProbability(model: ClassModel, refs: readonly string[], reason: string): number {
		const usesNewVersion = model.candidates.some(({ref, replaces}) => replaces !== undefined && refs.includes(ref) && model.effectiveRatings(allClasses, ref) < minRatings.pooled);
		if (reason === 'explore' || usesNewVersion) {
			return 1;
		}

		// Until the cheapest version has enough ratings, rating other answers would only delay the ratings of explorations.
		return model.effectiveRatings(allClasses, model.candidates[0]!.ref) < minRatings.pooled ? initialRatingShare : this._settings.ratingShare;
	}

	/** Versions of an exploration, cheapest first; the last one meets the target on its own. Empty when all versions have enough ratings. */
	private _explorationChain(state: PlanningState): string[] {
		const {service, model, context} = state;
		const {candidates, requestClass} = model;
		const last = candidates.length - 1;
		let end = -1;
		for (const [index, {ref, replaces}] of candidates.entries()) {
			if (replaces !== undefined) {
				continue;
			}

			if (index < last && (model.effectiveRatings(allClasses, ref) < minRatings.pooled || model.effectiveRatings(requestClass, ref) < minRatings.inClass)) {
				end = Math.max(end, index);
			}

			if (candidates.slice(0, index).some(earlier => earlier.replaces === undefined && model.effectiveRatings(allClasses, ref, earlier.ref) < minRatings.pair)) {
				end = Math.max(end, index);
			}
		}

		if (end === -1) {
			return [];
		}

		const sufficient = service.cheapestSufficient(model, context.qualityTarget);
		const minEnd = sufficient === undefined ? last : candidates.findIndex(({ref}) => ref === sufficient);
		return candidates.slice(0, Math.max(end, minEnd) + 1).map(({ref}) => ref);
	}

	private _meetsDeadline(model: ClassModel, refs: readonly string[], context: PlanContext): boolean {
		let total = 0;
		for (const ref of refs) {
			total += expectedStepMs(model, ref, context);
		}

		return total <= context.deadlineMs;
	}

	private _observeAttempt(outcome: AttemptOutcome): void {
		if (outcome.result === 'error') {
			return;
		}

		this._store.addAttempt(outcome);
		if (outcome.result === 'empty') {
			// The rating of an empty answer is known without the rating service.
			this._store.addRating({...outcome, ratingProbability: 1}, 0);
		}

		const service = this._service(outcome.service);
		if (outcome.ratingRequested) {
			service.ratingSampler.recordSent(outcome.attemptId);
		}

		if (outcome.delivered !== false) {
			const predicted = service.predict(outcome);
			service.quality.addAnswer(predicted);
			setBounded(this._predictedRatings, outcome.attemptId, predicted);
		}
	}

	private _observeRating(outcome: AttemptOutcome, rating: number): void {
		this._ratedAttempts.add(outcome.attemptId);
		if (this._ratedAttempts.size > maxTrackedAttempts) {
			this._ratedAttempts.delete(this._ratedAttempts.values().next().value!);
		}

		this._store.addRating(outcome, rating);
		if (outcome.step === 1 && outcome.unconditional) {
			this._exploration.addRated();
		}

		const service = this._service(outcome.service);
		service.ratingSampler.recordRating(outcome.attemptId);
		const predicted = this._predictedRatings.get(outcome.attemptId);
		if (predicted !== undefined) {
			this._predictedRatings.delete(outcome.attemptId);
			service.quality.addRating(rating, predicted, outcome.ratingProbability);
		}
	}

	private _service(name: string): ServiceModel {
		let service = this._services.get(name);
		if (!service) {
			service = new ServiceModel(this._clock, this._store, this._settings);
			this._services.set(name, service);
		}

		return service;
	}

	private _quantile(confidence: number): number {
		let z = this._quantiles.get(confidence);
		if (z === undefined) {
			z = normalQuantile(confidence);
			this._quantiles.set(confidence, z);
		}

		return z;
	}
}

function expectedStepMs(model: ClassModel, ref: string, context: PlanContext): number {
	const {firstTokenMs, totalMs} = model.usage(ref);
	const expected = context.candidates.find(candidate => candidate.ref === ref)?.expectedFirstTokenMs ?? firstTokenMs;
	return expected + (totalMs - firstTokenMs);
}

function expectedLatencyMs(model: ClassModel, {refs, escalationShare}: PlanOption, context: PlanContext): number {
	return expectedStepMs(model, refs[0]!, context) + (refs.length > 1 ? escalationShare * expectedStepMs(model, refs[1]!, context) : 0);
}

/** Sets an entry and evicts the oldest one above the maximum size. */
function setBounded(map: Map<string, number>, key: string, value: number): void {
	map.set(key, value);
	if (map.size > maxTrackedAttempts) {
		map.delete(map.keys().next().value!);
	}
}
