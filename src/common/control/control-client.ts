import {type Clock} from '../base/clock.js';
import {sleep} from '../base/sleep.js';
import {type ServiceDocument} from '../documents/service-document.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type ControlCommand} from './control-command.js';
import {inForceMethod, proposeMethod} from './control-methods.js';
import {type ControlResult} from './control-result.js';
import {proposeTimeoutMs} from './control-times.js';
import {type InForceReply} from './in-force.js';
import {type LeaderClient} from './leader-client.js';

/** Options of a change. The change may be resent with the same id and content after a lost reply. */
export interface ChangeOptions {
	readonly changeId: string;
	/** Revision of the service's document that the change is based on; 0 when there was none. */
	readonly baseRevision?: number;
}

/** Default deadline in milliseconds for a change to be accepted or to come into force: the documented bound. */
const defaultDeadlineMs = 11_000;
/** Interval in milliseconds at which `waitInForce` polls the leader. */
const pollIntervalMs = 50;

/** Proposes operator changes and reports their progress. Throws the errors of `LeaderClient.request`. */
export class ControlClient {
	constructor(private readonly _leaderClient: LeaderClient, private readonly _clock: Clock) {}

	/** Creates or replaces the document of a service. */
	async submit(document: ServiceDocument, options: ChangeOptions): Promise<ControlResult> {
		return this._propose({type: 'submit-document', document, ...options});
	}

	/** Removes the document of a service. */
	async remove(service: string, options: ChangeOptions): Promise<ControlResult> {
		return this._propose({type: 'remove-document', service, ...options});
	}

	/** Forbids a version of a service for all new work. */
	async withdraw(service: string, ref: VersionRef, options: ChangeOptions): Promise<ControlResult> {
		return this._propose({
			type: 'withdraw-version', service, ref, ...options,
		});
	}

	/** Asks the leader once whether a revision is in force. */
	async inForce(revision: number, deadlineMs = defaultDeadlineMs): Promise<InForceReply> {
		return this._leaderClient.request(inForceMethod, {revision}, {attemptMs: proposeTimeoutMs, deadlineMs});
	}

	/** Waits until a revision is in force or the deadline has passed. @returns the last reply, which names the hosts that lag behind. */
	async waitInForce(revision: number, deadlineMs = defaultDeadlineMs): Promise<InForceReply> {
		const end = this._clock.now() + deadlineMs;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- polls in sequence
			const reply = await this.inForce(revision, Math.max(1, end - this._clock.now()));
			if (reply.inForce || this._clock.now() + pollIntervalMs >= end) {
				return reply;
			}

			// eslint-disable-next-line no-await-in-loop -- waits between polls
			await sleep(this._clock, pollIntervalMs);
		}
	}

	private async _propose(command: ControlCommand): Promise<ControlResult> {
		return this._leaderClient.request(proposeMethod, {command}, {attemptMs: proposeTimeoutMs, deadlineMs: defaultDeadlineMs});
	}
}
