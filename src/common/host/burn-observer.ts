import {type Clock} from '../base/clock.js';
import {type BurnCounter} from '../burn/burn-counter.js';
import {type BurnSubject} from '../burn/burn-subject.js';
import {type ControlView} from '../control/control-view.js';
import {objectiveName, type Objective} from '../documents/objective.js';
import {type FinishedRequest, type RequestObserver} from '../entry/request-observer.js';
import {type RequestHistory} from '../entry/request-history.js';
import {type AttemptOutcome} from '../routing/attempt-outcome.js';
import {RecentAnswers} from './recent-answers.js';

/** Dependencies of `BurnObserver`. */
export interface BurnObserverOptions {
	readonly view: ControlView;
	readonly counter: BurnCounter;
	readonly requestHistory: RequestHistory;
	readonly clock: Clock;
}

/** Maximum number of requests without a rating, and of ratings whose request has not ended. */
const maxPending = 4000;

/** Counts each request against the objectives of its service and adds it to the request history. */
export class BurnObserver implements RequestObserver {
	private readonly _recent = new RecentAnswers();
	private readonly _unratedRequests = new Map<string, FinishedRequest>();
	private readonly _pendingRatings = new Map<string, number>();

	constructor(private readonly _options: BurnObserverOptions) {}

	finished(request: FinishedRequest): void {
		this._options.requestHistory.add(request);
		for (const objective of this._objectives(request)) {
			this._count(request, objective);
		}

		const rating = this._pendingRatings.get(request.requestId);
		if (rating !== undefined) {
			this._pendingRatings.delete(request.requestId);
			this._countRating(request, rating);
		} else if (request.outcome === 'answered' && this._objectives(request).some(({minRating}) => minRating !== undefined)) {
			setBounded(this._unratedRequests, request.requestId, request);
		}
	}

	rated({attemptId, delivered, rating}: AttemptOutcome): void {
		if (!delivered || rating === undefined) {
			return;
		}

		const requestId = attemptId.slice(0, attemptId.lastIndexOf('.'));
		const request = this._unratedRequests.get(requestId);
		if (request) {
			this._unratedRequests.delete(requestId);
			this._countRating(request, rating);
		} else {
			setBounded(this._pendingRatings, requestId, rating);
		}
	}

	/** Counts recent answers as bad if their version has been quarantined or withdrawn since. */
	checkExposure(): void {
		for (const {subject, count} of this._recent.takeBad((subject, requestClass) => this._isBad(subject, requestClass), this._options.clock.wallTime())) {
			this._options.counter.count(subject, 0, count);
		}
	}

	private _objectives({service, urgency}: FinishedRequest): Objective[] {
		const objectives = this._options.view.documents.get(service)?.document.objectives ?? [];
		return objectives.filter(objective => objective.urgency === undefined || objective.urgency === urgency);
	}

	private _count(request: FinishedRequest, objective: Objective): void {
		const subject = subjectOf(request, objective);
		const {counter, clock} = this._options;
		if (objective.minRating !== undefined || !isCounted(request)) {
			return;
		}

		if (!objective.exposure) {
			counter.count(subject, 1, isGood(request, objective) ? 0 : 1);
		} else if (request.ref !== undefined) {
			const isBad = this._isBad(subject, request.requestClass);
			counter.count(subject, 1, isBad ? 1 : 0);
			if (!isBad) {
				this._recent.add(subject, request.requestClass, clock.wallTime());
			}
		}
	}

	private _countRating(request: FinishedRequest, rating: number): void {
		for (const objective of this._objectives(request)) {
			if (objective.minRating !== undefined) {
				this._options.counter.count(subjectOf(request, objective), 1, rating >= objective.minRating ? 0 : 1);
			}
		}
	}

	private _isBad({service, version}: BurnSubject, requestClass = '*'): boolean {
		const {view} = this._options;
		return view.isQuarantined(service, requestClass, version) || (view.documents.get(service)?.withdrawn.includes(version) ?? false);
	}
}

function subjectOf({service, customer, ref, plan}: FinishedRequest, objective: Objective): BurnSubject {
	// A failed request counts against the last version of its plan; a request without a plan never reached a version.
	return {
		service, objective: objectiveName(objective), version: ref ?? plan?.steps.at(-1)?.ref ?? '-', customer,
	};
}

/** Whether a request counts: not if the caller cancelled it or caused its refusal. */
function isCounted({outcome, refusal}: FinishedRequest): boolean {
	return outcome !== 'cancelled' && (refusal === undefined || refusal.status >= 500 || refusal.status === 429);
}

function isGood({outcome, firstTokenMs = 0, betweenTokensMs = 0}: FinishedRequest, objective: Objective): boolean {
	return outcome === 'answered' && firstTokenMs < (objective.firstTokenMs ?? Number.POSITIVE_INFINITY) && betweenTokensMs < (objective.betweenTokensMs ?? Number.POSITIVE_INFINITY);
}

function setBounded<Value>(map: Map<string, Value>, key: string, value: Value): void {
	map.set(key, value);
	if (map.size > maxPending) {
		const [oldest] = map.keys();
		map.delete(oldest!);
	}
}
