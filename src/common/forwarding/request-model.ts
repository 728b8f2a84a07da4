import {type Attempt} from './attempt.js';
import {type EngineLoad} from './engine-load.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {type ModelContext} from './model-policy.js';
import {type AnswerTimes, type ModelSpeed} from './model-speed.js';

/** Tracks the model that the router chooses for one request. */
export class RequestModel {
	private _name: string | undefined;
	private _isEscalated = false;

	constructor(
		private readonly _services: Pick<ForwardServices, 'clock' | 'counters' | 'models' | 'speeds'>,
		private readonly _admitted: AdmittedRequest,
		private readonly _startedAt: number,
		private readonly _deadlineAt: number,
	) {
		const context = this._context();
		if (context && context.route.models.length > 0 && context.generation.model === undefined) {
			this._name = _services.models.first(context);
		}
	}

	/** The chosen model; undefined when the caller chose it, and for requests to plain services. */
	get name(): string | undefined {
		return this._name;
	}

	/** Whether the request was escalated to a larger model. */
	get isEscalated(): boolean {
		return this._isEscalated;
	}

	/** Returns the larger model that could improve an answer; undefined accepts the answer. */
	largerThan(model: string | undefined, confidence: number | undefined): string | undefined {
		const context = this._context();
		return context && model !== undefined && confidence !== undefined ? this._services.models.larger(context, model, confidence) : undefined;
	}

	/** Expected times of an answer of a model. */
	expected(model: string): AnswerTimes {
		const {req: {generation}} = this._admitted;
		return generation ? this._speed(model).expected(generation, this._services.clock.now()) : {firstEventMs: 0, lastEventMs: 0};
	}

	/** Whether to ask a larger model, given the expected times of its answer. */
	escalates(confidence: number, expected: AnswerTimes): boolean {
		const context = this._context();
		return context !== undefined && this._services.models.escalates(context, confidence, expected);
	}

	/** Sets the model of all further attempts. */
	use(model: string, isEscalated: boolean): void {
		this._name = model;
		this._isEscalated = isEscalated;
	}

	/** Records the first event of an attempt, or its abort before that. */
	recordFirstEvent({model, sentAt}: Attempt): void {
		const {req: {generation}} = this._admitted;
		if (generation && model !== undefined) {
			const now = this._services.clock.now();
			this._speed(model).recordFirstEvent(generation, now - sentAt, now);
			const load = this._loadMeasuredWith(model);
			if (load) {
				load.recordFirstEvent(model, generation, now - sentAt, now);
				this._services.counters.gauge('forward.engine-load', load.firstEventAt(now), {service: this._admitted.service});
			}
		}
	}

	/** Records the last event of an attempt. */
	recordEnd({model, headAt, hasEnded}: Attempt): void {
		const {req: {generation}} = this._admitted;
		if (generation && model !== undefined && headAt !== undefined) {
			const now = this._services.clock.now();
			this._speed(model).recordEnd(generation, now - headAt, now);
			// A held answer that is delivered after its end was complete earlier.
			if (!hasEnded) {
				this._loadMeasuredWith(model)?.recordEnd(model, generation, now - headAt, now);
			}
		}
	}

	private _speed(model: string): ModelSpeed {
		return this._services.speeds.of(this._admitted.service, model);
	}

	/** Load of the engines, if it is measured with this model: nearly every request asks the smallest model of its route first. */
	private _loadMeasuredWith(model: string): EngineLoad | undefined {
		const {service, route} = this._admitted;
		return model === route.models[0] ? this._services.speeds.load(service) : undefined;
	}

	private _context(): ModelContext | undefined {
		const {req: {generation}, route} = this._admitted;
		const now = this._services.clock.now();
		return generation && {
			route, generation, elapsedMs: now - this._startedAt, remainingMs: this._deadlineAt - now,
		};
	}
}
