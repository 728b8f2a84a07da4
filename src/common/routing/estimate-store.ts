import {type Clock} from '../base/clock.js';
import {binOf} from './confidence-bins.js';
import {allClasses, estimateKey, pinnedSession} from './estimate-key.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {
	decayEstimate, emptyEstimate, estimateAt, mergeEstimates, type VersionEstimate,
} from './version-estimate.js';

/** Estimates by key, as exchanged between hosts and written to the control log. */
export type EstimateSet = Record<string, VersionEstimate>;

/** Estimates from this host's attempts, and those received from the other hosts. */
export class EstimateStore {
	private readonly _local = new Map<string, VersionEstimate>();
	private readonly _shared = new Map<string, VersionEstimate>();
	private _version = 0;

	constructor(private readonly _clock: Clock, readonly halfLifeMs: number) {}

	/** Incremented at each change, so that derived models can detect that they are stale. */
	get version(): number {
		return this._version;
	}

	/** Sums of a key over all hosts, decayed to the current time; undefined if nothing is recorded. */
	get(key: string): VersionEstimate | undefined {
		const local = this._local.get(key);
		const shared = this._shared.get(key);
		const total = local && shared ? mergeEstimates(local, shared, this.halfLifeMs) : local ?? shared;
		return total && estimateAt(total, this._clock.wallTime(), this.halfLifeMs);
	}

	/** Usage sums of a key over all hosts, without the copies that `get` makes. */
	usage(key: string): VersionEstimate['usage'] | undefined {
		// Callers compute means from these sums, so the decay of the last minutes cancels out.
		const [local, shared] = [this._local.get(key)?.usage, this._shared.get(key)?.usage];
		return local && shared ? local.map((value, index) => value + shared[index]!) as VersionEstimate['usage'] : local ?? shared;
	}

	/** Adds an attempt without its rating. */
	addAttempt(outcome: AttemptOutcome): void {
		for (const {estimate, bin} of this._affectedBins(outcome)) {
			estimate.answers[bin]! += 1;
			const {usage} = estimate;
			usage[0] += 1;
			usage[1] += outcome.inputTokens;
			usage[2] += outcome.outputTokens;
			usage[3] += outcome.firstTokenMs;
			usage[4] += outcome.firstTokenMs + (outcome.betweenTokensMs * outcome.outputTokens);
		}

		this._version++;
	}

	/** Adds the rating of an attempt, weighted by the inverse of its sampling probability. */
	addRating(outcome: AttemptOutcome, rating: number): void {
		const weight = 1 / Math.max(0.01, outcome.ratingProbability);
		for (const {estimate, bin} of this._affectedBins(outcome)) {
			estimate.weight[bin]! += weight;
			estimate.weightSquares[bin]! += weight * weight;
			estimate.rating[bin]! += weight * rating;
			estimate.ratingSquares[bin]! += weight * rating * rating;
		}

		this._version++;
	}

	/** Estimates from this host's attempts since the start of the process. */
	exportLocal(): EstimateSet {
		return structuredClone(Object.fromEntries(this._local));
	}

	/** Replaces the estimates received from the other hosts. They must not include those of this host. */
	importShared(estimates: EstimateSet): void {
		this._shared.clear();
		for (const [key, estimate] of Object.entries(estimates)) {
			this._shared.set(key, structuredClone(estimate));
		}

		this._version++;
	}

	/** Estimates and bins that an attempt counts in. */
	private * _affectedBins({service, requestClass, ref, confidence = 0, earlier = [], unconditional = false, pinned = false}: AttemptOutcome): Generator<{estimate: VersionEstimate; bin: number}> {
		for (const scope of [requestClass, allClasses]) {
			if (pinned) {
				yield {estimate: this._localEstimate(estimateKey(service, scope, ref, pinnedSession)), bin: binOf(confidence)};
				continue;
			}

			if (earlier.length === 0 || unconditional) {
				yield {estimate: this._localEstimate(estimateKey(service, scope, ref)), bin: binOf(confidence)};
			}

			for (const step of earlier) {
				yield {estimate: this._localEstimate(estimateKey(service, scope, ref, step.ref)), bin: binOf(step.confidence)};
			}
		}
	}

	private _localEstimate(key: string): VersionEstimate {
		const at = this._clock.wallTime();
		let estimate = this._local.get(key);
		if (!estimate) {
			estimate = emptyEstimate(at);
			this._local.set(key, estimate);
		}

		decayEstimate(estimate, at, this.halfLifeMs);
		return estimate;
	}
}
