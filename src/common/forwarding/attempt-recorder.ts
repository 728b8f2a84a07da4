import {type Attempt} from './attempt.js';
import {type CrashGuard} from './crash-guard.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {type AdmittedRequest} from './forwarder.js';
import {recordServerTerms} from './record-server-terms.js';
import {type RequestModel} from './request-model.js';
import {headTimeoutMs} from './stall-timeouts.js';

/** Records what the attempts of one request say about servers, releases and models, and about the links of this host. What another entry host answers says nothing about them. */
export class AttemptRecorder {
	constructor(
		private readonly _services: ForwardServices,
		private readonly _admitted: AdmittedRequest,
		private readonly _model: RequestModel,
		private readonly _crashes: CrashGuard,
	) {}

	/** Records that an answer has begun. */
	recordHead(attempt: Attempt, head: AnswerHead): void {
		attempt.head = head;
		attempt.headAt = this._services.clock.now();
		if (attempt.isHandedOver) {
			return;
		}

		this._services.reach.recordContact(this._admitted.service);
		if (!head.isOtherServer) {
			recordServerTerms(this._services, this._admitted.service, attempt, head);
		}
	}

	/** Records an answer to the request, or a failure by which a server that ran it answered. */
	recordAnswer(attempt: Attempt, isFailed: boolean): void {
		const now = this._services.clock.now();
		if (attempt.isHandedOver) {
			this._services.peers.recordTaken(attempt.record);
		}

		attempt.recordResult(isFailed, now);
		attempt.evidence.recordHead(isFailed, now);
		this._model.recordFirstEvent(attempt);
	}

	/** Records an answer which states that the request was not run. */
	recordRefused(attempt: Attempt, {isOtherServer, isHostFault}: AnswerHead): void {
		const now = this._services.clock.now();
		if (attempt.isHandedOver) {
			if (isHostFault) {
				this._services.peers.recordRefusal(attempt.record, now);
			}
		} else if (isOtherServer) {
			attempt.recordResult(true, now);
		} else {
			attempt.record.recordOverload(now);
		}
	}

	/** Records that nothing was sent, because there was no connection. */
	recordUnsent(attempt: Attempt): void {
		attempt.recordResult(true, this._services.clock.now());
		this._recordNoContact(attempt);
	}

	/** Records that a connection broke under an attempt, or that its answer is incomplete. */
	recordBroken(attempt: Attempt): void {
		if (!attempt.isHandedOver) {
			this._crashes.recordBroken(attempt);
			this._recordNoContact(attempt);
		}
	}

	/** Records that an attempt was given up because nothing arrived for too long. */
	recordStall(attempt: Attempt): void {
		const now = this._services.clock.now();
		attempt.recordResult(true, now);
		attempt.evidence.recordSilence(now);
		this._recordNoContact(attempt);
	}

	/** Records that the time of the request ended during an attempt. */
	recordTimeout(attempt: Attempt): void {
		const now = this._services.clock.now();
		if (attempt.isSilentSince(now - headTimeoutMs(this._admitted.route))) {
			attempt.recordResult(true, now);
			this._recordNoContact(attempt);
		}

		if (!attempt.head) {
			this._model.recordFirstEvent(attempt);
			attempt.evidence.recordSilence(now);
		}
	}

	private _recordNoContact({isHandedOver}: Attempt): void {
		if (!isHandedOver) {
			this._services.reach.recordFailure(this._admitted.service);
		}
	}
}
