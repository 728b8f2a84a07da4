import {type Attempt} from './attempt.js';
import {type AdmittedRequest} from './forwarder.js';
import {type PromptPart} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {isSuccess} from './head-verdict.js';
import {quarantinedPart} from './quarantined-part.js';

/** Number of broken connections after which a request is not sent again, unless its prompt is known to be sound. */
const maxUnexplainedBreaks = 2;

/** Keeps a request whose prompt may end servers away from them, and records how its attempts end. */
export class PromptGuard {
	private _breaks = 0;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest) {}

	/** Whether a connection broke under an attempt. */
	get hasBroken(): boolean {
		return this._breaks > 0;
	}

	/** Whether a part of the prompt is under quarantine. */
	get isQuarantined(): boolean {
		return quarantinedPart(this._services.state(), this._admitted.req) !== undefined;
	}

	/** Whether another attempt is acceptable: the request has not met several broken connections, or its prompt is known to be sound. */
	get mayRetry(): boolean {
		return this._breaks < maxUnexplainedBreaks || this._services.crashes.isSound(this._parts);
	}

	/** Records that the request is refused if a part of its prompt is under quarantine. @returns whether it is. */
	refuse(): boolean {
		const part = quarantinedPart(this._services.state(), this._admitted.req);
		if (part !== undefined) {
			this._services.crashes.recordRefused(part);
		}

		return part !== undefined;
	}

	/** Records that the connection of an attempt broke. */
	recordBroken({record}: Attempt): void {
		this._breaks++;
		this._services.crashes.recordBroken(record, this._parts);
	}

	/** Records the complete answer of an attempt. */
	recordComplete({head}: Attempt): void {
		// The end of an answer without framing may be the end of its server.
		if (head && isSuccess(head) && !head.isUnframed) {
			this._services.crashes.recordComplete(this._parts);
		}
	}

	private get _parts(): readonly PromptPart[] {
		return this._admitted.req.generation?.parts ?? [];
	}
}
