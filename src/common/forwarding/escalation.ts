import {type Disposable} from '../base/disposable.js';
import {type Attempt} from './attempt.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {type AnswerTimes} from './model-speed.js';
import {type RepeatPurpose, repeatPurpose} from './repeat-budget.js';
import {type RequestModel} from './request-model.js';

/**
Multiple of the target latency after which a held answer is delivered although the larger model has not answered: the caller
may leave soon, and an answer in hand is worth more than a better one that may not come.
*/
const heldLatencyFactor = 2;
/** Time in milliseconds before the deadline at which a held answer is delivered at the latest. */
const deliveryMarginMs = 50;

/** The request that an escalation belongs to. */
export interface EscalatingRequest {
	readonly startedAt: number;
	readonly deadlineAt: number;
	readonly model: RequestModel;
	/** Takes a repeat from the budget. @returns whether another attempt is allowed. */
	takeRepeat(purpose: RepeatPurpose): boolean;
	/** Sends the request to the larger model, at a server that may have been tried with the smaller one. */
	askLarger(): void;
	/** Delivers a held answer; aborts an attempt with the larger model that is in flight. */
	deliver(held: Attempt): void;
	/** Aborts an attempt and records its outcome for the log. */
	abandon(attempt: Attempt, outcome: string): void;
	/** Records a decision for the log. */
	note(decision: string): void;
}

/**
Asks a larger model after a doubtful answer of a smaller one. The smaller answer is held back until the larger model answers;
it is delivered when the larger model fails or takes too long. A larger model that would be late is not asked.
*/
export class Escalation {
	private _held: Attempt | undefined;
	private _timer: Disposable | undefined;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest, private readonly _req: EscalatingRequest) {}

	get isHolding(): boolean {
		return this._held !== undefined;
	}

	/** Whether this attempt's answer is held back. */
	holds(attempt: Attempt): boolean {
		return attempt === this._held;
	}

	/** Asks a larger model and holds the answer back, if the answer is doubtful and the larger model can answer in time. @returns whether it was asked. */
	start(attempt: Attempt): boolean {
		const {model, startedAt, deadlineAt} = this._req;
		const confidence = attempt.head?.confidence;
		const larger = model.largerThan(attempt.model, confidence);
		if (this.isHolding || larger === undefined || confidence === undefined) {
			return false;
		}

		const expected = model.expected(larger);
		const isAsked = model.escalates(confidence, expected) && this._req.takeRepeat(repeatPurpose.escalation);
		this._req.note(describeDecision(isAsked, confidence, expected));
		if (!isAsked) {
			return false;
		}

		this._held = attempt;
		model.use(larger, true);
		const {clock} = this._services;
		const heldUntil = Math.min(startedAt + (this._admitted.route.targetLatencyMs * heldLatencyFactor), deadlineAt - deliveryMarginMs);
		this._timer = clock.setTimer(heldUntil - clock.now(), () => {
			this.deliver();
		});
		this._req.askLarger();
		return true;
	}

	/** Delivers the held answer. @returns whether there was one. */
	deliver(): boolean {
		const held = this._release();
		if (!held) {
			return false;
		}

		this._req.model.use(held.model!, false);
		this._req.deliver(held);
		return true;
	}

	/** Aborts the held attempt, if any; `reason` is for the log. */
	drop(reason: string): void {
		const held = this._release();
		if (held) {
			this._req.abandon(held, `${reason}-at-${held.head!.confidence}`);
		}
	}

	/** Aborts the held attempt, if its answer is not complete. */
	dropIncomplete(reason: string): void {
		if (this._held?.hasEnded === false) {
			this.drop(reason);
		}
	}

	private _release(): Attempt | undefined {
		const held = this._held;
		this._held = undefined;
		this._timer?.dispose();
		return held;
	}
}

/** Describes for the log whether a larger model is asked, and the inputs of the decision. */
function describeDecision(isAsked: boolean, confidence: number, {firstEventMs, lastEventMs, load}: AnswerTimes): string {
	const decision = `${isAsked ? 'larger-asked' : 'kept'}-at-${confidence}:first-${Math.round(firstEventMs)}ms:last-${Math.round(lastEventMs)}ms`;
	return load === undefined ? decision : `${decision}:load-${load.toFixed(1)}`;
}
