import {type Disposable} from '../base/disposable.js';
import {type Attempt} from './attempt.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {chooseLoadedServer, type LoadedServer} from './loaded-server.js';
import {type AnswerTimes} from './model-speed.js';
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
	/** Takes a retry from the budget. @returns whether another attempt is allowed. */
	takeRetry(): boolean;
	/** Sends the request to the larger model. */
	send(server: LoadedServer): void;
	/** Delivers a held answer; aborts an attempt with the larger model that is in flight. */
	deliver(held: Attempt): void;
	/** Aborts an attempt and records its outcome for the log. */
	abandon(attempt: Attempt, outcome: string): void;
	/** Records a decision for the log. */
	note(decision: string): void;
}

/**
Asks a larger model after a doubtful answer of a smaller one. The smaller answer is held back until the larger model answers;
it is delivered when no server can answer in time, and when the larger model fails or takes too long.
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

	/** Whether a larger model could improve an answer. */
	isUseful({model, head}: Attempt): boolean {
		return !this._held && this._req.model.largerThan(model, head?.confidence) !== undefined;
	}

	/** Holds an answer back and decides whether to ask a larger model. */
	async start(held: Attempt): Promise<void> {
		this._held = held;
		const confidence = held.head!.confidence!;
		const server = await chooseLoadedServer(this._services, this._admitted);
		// The request may have ended in the meantime, or the held answer may have failed.
		if (this._held !== held) {
			return;
		}

		const {model, startedAt, deadlineAt} = this._req;
		const larger = model.largerThan(held.model, confidence)!;
		const expected = server && model.expected(larger, server.load);
		const isAsked = expected !== undefined && model.escalates(confidence, expected) && this._req.takeRetry();
		this._req.note(describeDecision(isAsked, confidence, server, expected));
		if (!isAsked) {
			this.deliver();
			return;
		}

		model.use(larger, true);
		const {clock} = this._services;
		const heldUntil = Math.min(startedAt + (this._admitted.route.targetLatencyMs * heldLatencyFactor), deadlineAt - deliveryMarginMs);
		this._timer = clock.setTimer(heldUntil - clock.now(), () => {
			this.deliver();
		});
		this._req.send(server!);
	}

	/** Buffers a part of the held answer. An answer that is too long to be buffered is given up. */
	buffer(chunk: Uint8Array): void {
		if (this._held && !this._held.buffer(chunk)) {
			this.drop('too-long');
		}
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

	private _release(): Attempt | undefined {
		const held = this._held;
		this._held = undefined;
		this._timer?.dispose();
		return held;
	}
}

/** Describes for the log whether a larger model is asked, and the inputs of the decision. */
function describeDecision(isAsked: boolean, confidence: number, server: LoadedServer | undefined, expected: AnswerTimes | undefined): string {
	const inputs = server && expected
		? `${server.record.server.id}:waiting-${server.load.waiting}:first-${Math.round(expected.firstEventMs)}ms:last-${Math.round(expected.lastEventMs)}ms`
		: 'no-load-report';
	return `${isAsked ? 'larger-asked' : 'kept'}-at-${confidence}:${inputs}`;
}
