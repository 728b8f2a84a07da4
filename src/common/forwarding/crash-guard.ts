import {answerFraming} from './answer-framing.js';
import {type Attempt} from './attempt.js';
import {type CrashSuspect} from './crash-observer.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {isSuccess} from './head-verdict.js';
import {refuseQuarantined} from './request-quarantine.js';

/** Number of broken connections after which a request is not sent again, unless its prompt is known to be sound. */
const maxUnexplainedBreaks = 2;

/** Keeps a request that may end servers away from them, and records how its attempts end. */
export class CrashGuard {
	private _breaks = 0;
	private readonly _suspect: CrashSuspect;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest) {
		const {digest, req} = _admitted;
		this._suspect = {digest, parts: req.generation?.parts ?? []};
	}

	/** Whether a connection broke under an attempt. */
	get hasBroken(): boolean {
		return this._breaks > 0;
	}

	/** Whether another attempt is acceptable: the request has not met several broken connections, or its prompt is known to be sound. */
	get mayRetry(): boolean {
		return this._breaks < maxUnexplainedBreaks || this._services.crashes.isSound(this._suspect.parts);
	}

	/** Records that the request is refused if it is under quarantine. @returns the code of the refusal; undefined when it may be sent. */
	refuse(): string | undefined {
		return refuseQuarantined(this._services, this._admitted)?.reason;
	}

	/** Records that the connection of an attempt broke. */
	recordBroken({record}: Attempt): void {
		this._breaks++;
		this._services.crashes.recordBroken(record, this._suspect);
	}

	/** Records the complete answer of an attempt. */
	recordComplete({head}: Attempt): void {
		// The end of an answer without framing may be the end of its server.
		if (head && isSuccess(head) && head.framing !== answerFraming.close) {
			this._services.crashes.recordComplete(this._suspect);
		}
	}
}
