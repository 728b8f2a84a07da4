import {type Attempt} from './attempt.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {type ModelContext} from './model-policy.js';

/** Tracks the model that the router chooses for one request. */
export class RequestModel {
	private _name: string | undefined;
	private _isEscalated = false;

	constructor(
		private readonly _services: Pick<ForwardServices, 'clock' | 'models'>,
		private readonly _admitted: AdmittedRequest,
		private readonly _startedAt: number,
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

	/** Returns a larger model to ask instead of accepting an answer; undefined accepts the answer. */
	largerThan(model: string | undefined, confidence: number | undefined): string | undefined {
		const context = this._context();
		return context && model !== undefined && confidence !== undefined ? this._services.models.escalate(context, model, confidence) : undefined;
	}

	/** Escalates the request: all further attempts use the given model. */
	use(model: string): void {
		this._name = model;
		this._isEscalated = true;
	}

	/** Reports to the policy how long ago an attempt was sent. */
	observe({model, sentAt}: Attempt): void {
		const context = this._context();
		if (context && model !== undefined) {
			this._services.models.observe(context, model, context.now - sentAt);
		}
	}

	private _context(): ModelContext | undefined {
		const {req: {generation}, route} = this._admitted;
		const now = this._services.clock.now();
		return generation && {
			route, generation, now, elapsedMs: now - this._startedAt,
		};
	}
}
