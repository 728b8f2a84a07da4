import {type VersionRef} from '../documents/version-ref.js';
import {sortByCost} from './candidate-cost.js';
import {
	defaultCalibrations, calibrate, weightedMean, type Calibration,
} from './calibration.js';
import {type VersionCandidate} from './cascade-policy.js';
import {binCount, binFloor} from './confidence-bins.js';
import {allClasses, estimateKey, pinnedSession} from './estimate-key.js';
import {type EstimateStore} from './estimate-store.js';
import {type PlanOption} from './plan-option.js';

/** Mean output tokens and times of one request to a version. */
export interface Usage {
	readonly outputTokens: number;
	readonly firstTokenMs: number;
	readonly totalMs: number;
}

type MeanEstimate = {mean: number; variance: number};

/** Usage assumed until attempts are recorded. */
const defaultUsage: Usage = {outputTokens: 200, firstTokenMs: 500, totalMs: 5000};

/**
Factor on the normal quantile of the configured confidence in the lower bound of a single plan. The quality controller
applies the full quantile to the realised quality; applying it here too cost 1 to 2 % more at the same quality.
*/
const planBoundFactor = 0.4;

/** Calibrations and usage of the candidates in one request class of a service, and the plan options built from them. */
export class ClassModel {
	readonly options: readonly PlanOption[];
	/** Candidates, cheapest first. */
	readonly candidates: readonly VersionCandidate[];
	private readonly _calibrations = new Map<string, Calibration>();
	private readonly _usage = new Map<VersionRef, Usage>();
	private readonly _replaces: ReadonlyMap<VersionRef, VersionRef>;

	constructor(
		private readonly _store: EstimateStore,
		private readonly _scope: {readonly service: string; readonly requestClass: string; readonly z: number},
		candidates: readonly VersionCandidate[],
	) {
		this.candidates = sortByCost(candidates);
		this._replaces = new Map(candidates.flatMap(({ref, replaces}) => replaces === undefined ? [] : [[ref, replaces]]));
		this.options = [...this.candidates.map(({ref}) => this._singleOption(ref)), ...this._pairOptions()];
	}

	get requestClass(): string {
		return this._scope.requestClass;
	}

	/** Effective number of ratings of a version, on its own or after the given earlier version; `scope` is this class or all classes. */
	effectiveRatings(scope: string, ref: VersionRef, earlier?: VersionRef): number {
		return this.calibration(scope, ref, earlier).effectiveRatings;
	}

	/** Expected rating of an answer by the bin of its own confidence, or of the confidence of the rejected answer before it. */
	calibration(scope: string, ref: VersionRef, earlier?: VersionRef): Calibration {
		const key = estimateKey(this._scope.service, scope, ref, earlier);
		let calibration = this._calibrations.get(key);
		if (!calibration) {
			calibration = calibrate(this._store.get(key), this._prior(scope, ref, earlier));
			this._calibrations.set(key, calibration);
		}

		return calibration;
	}

	/** Mean usage of a version in this class. */
	usage(ref: VersionRef): Usage {
		let usage = this._usage.get(ref);
		if (!usage) {
			usage = this._meanUsage(ref, this._scope.requestClass) ?? this._meanUsage(ref, allClasses) ?? defaultUsage;
			this._usage.set(ref, usage);
		}

		return usage;
	}

	/** Mean input tokens of the requests of this class. */
	inputTokens(): number {
		for (const {ref} of this.candidates) {
			const usage = this._store.usage(estimateKey(this._scope.service, this._scope.requestClass, ref));
			if (usage && usage[0] > 0) {
				return usage[1] / usage[0];
			}
		}

		return 500;
	}

	private _prior(scope: string, ref: VersionRef, earlier: VersionRef | undefined): Calibration {
		if (scope !== allClasses) {
			return this.calibration(allClasses, ref, earlier);
		}

		if (earlier === pinnedSession) {
			return this.calibration(allClasses, ref);
		}

		const replacedEarlier = earlier === undefined ? undefined : this._replaces.get(earlier);
		const replaced = this._replaces.get(ref);
		if (replaced !== undefined) {
			return this.calibration(allClasses, replaced, earlier);
		}

		if (replacedEarlier !== undefined) {
			return this.calibration(allClasses, ref, replacedEarlier);
		}

		return ref === this.candidates.at(-1)?.ref ? defaultCalibrations.mostExpensive : defaultCalibrations.other;
	}

	private _meanUsage(ref: VersionRef, scope: string): Usage | undefined {
		for (const version of [ref, this._replaces.get(ref)]) {
			if (version === undefined) {
				continue;
			}

			const keys = [undefined, pinnedSession, ...this.candidates.map(candidate => candidate.ref)].map(earlier => estimateKey(this._scope.service, scope, version, earlier));
			for (const key of keys) {
				const [attempts, , output, first, total] = this._store.usage(key) ?? [0, 0, 0, 0, 0];
				if (attempts > 1) {
					return {outputTokens: output / attempts, firstTokenMs: first / attempts, totalMs: total / attempts};
				}
			}
		}

		return undefined;
	}

	private _singleOption(ref: VersionRef): PlanOption {
		const own = this.calibration(this._scope.requestClass, ref);
		let best: MeanEstimate = weightedMean(own, own.share);
		for (const {ref: earlier} of this.candidates) {
			// The escalations from each bin of an earlier version, weighted by the shares of the bins, represent all requests of the class.
			const viaEarlier = weightedMean(this.calibration(this._scope.requestClass, ref, earlier), this.calibration(this._scope.requestClass, earlier).share);
			best = viaEarlier.variance < best.variance ? viaEarlier : best;
		}

		return this._createOption([ref], best, 1);
	}

	private _pairOptions(): PlanOption[] {
		return this.candidates.flatMap((first, index) => this.candidates.slice(index + 1).flatMap(second => this._thresholdOptions(first.ref, second.ref)));
	}

	private _thresholdOptions(first: VersionRef, second: VersionRef): PlanOption[] {
		const own = this.calibration(this._scope.requestClass, first);
		const after = this.calibration(this._scope.requestClass, second, first);
		const options: PlanOption[] = [];
		for (let bin = 1; bin <= binCount; bin++) {
			if (bin < binCount && own.share[bin - 1]! < 0.002) {
				continue;
			}

			const rejected = weightedMean(after, own.share, 0, bin);
			const accepted = weightedMean(own, own.share, bin);
			const total = {mean: rejected.mean + accepted.mean, variance: rejected.variance + accepted.variance};
			options.push(this._createOption([first, second], total, rejected.weight, binFloor(bin)));
		}

		return options;
	}

	private _createOption(refs: readonly VersionRef[], {mean, variance}: MeanEstimate, escalationShare: number, minConfidence?: number): PlanOption {
		return {
			refs, escalationShare: refs.length === 1 ? 0 : escalationShare, minConfidence, quality: mean, lowerBound: mean - (planBoundFactor * this._scope.z * Math.sqrt(variance)),
		};
	}
}
