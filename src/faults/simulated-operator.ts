import {type RandomSource} from '../common/base/random-source.js';
import {sleep} from '../common/base/sleep.js';
import {type ControlResult} from '../common/control/control-result.js';
import {type ServiceDocument} from '../common/documents/service-document.js';
import {type ManualClock} from '../testing/manual-clock.js';
import {type SimulatedHost} from './simulated-host.js';
import {type OperatorChange, type RunHistory} from './run-history.js';

/** Time in milliseconds for which an operator retries a change; after acceptance it waits as long for the change to be in force. */
const operatorTimeoutMs = 20_000;

/** Operators that submit changes at random hosts, retry them after a lost reply and wait until they are in force. */
export class SimulatedOperator {
	private _changes = 0;

	constructor(private readonly _clock: ManualClock, private readonly _random: RandomSource, private readonly _hosts: readonly SimulatedHost[], private readonly _history: RunHistory) {}

	/** Submits a document. @returns the accepted change, or undefined after the timeout. */
	async submit(document: ServiceDocument): Promise<OperatorChange | undefined> {
		const changeId = `change-${this._changes++}`;
		return this._change('submit', undefined, async host => host.host!.control.client.submit(document, {changeId}));
	}

	/** Withdraws a version. @returns the accepted change, or undefined after the timeout. */
	async withdraw(service: string, ref: string): Promise<OperatorChange | undefined> {
		const changeId = `change-${this._changes++}`;
		return this._change('withdraw', ref, async host => host.host!.control.client.withdraw(service, ref, {changeId}));
	}

	private async _change(kind: OperatorChange['kind'], ref: string | undefined, propose: (host: SimulatedHost) => Promise<ControlResult>): Promise<OperatorChange | undefined> {
		const end = this._clock.now() + operatorTimeoutMs;
		while (this._clock.now() < end) {
			const host = this._pickHost();
			// eslint-disable-next-line no-await-in-loop -- tries run one after another
			const result = host && await this._withTimeout(propose(host));
			if (result?.status === 'accepted') {
				const change: OperatorChange = {
					kind, ref, revision: result.revision, acceptedAt: this._clock.now(), inForceAt: undefined,
				};
				this._history.changes.push(change);
				// eslint-disable-next-line no-await-in-loop -- the operator waits before the next change
				await this._waitInForce(change);
				return change;
			}

			// eslint-disable-next-line no-await-in-loop -- pause between tries
			await sleep(this._clock, 300);
		}

		return undefined;
	}

	private async _waitInForce(change: OperatorChange): Promise<void> {
		const end = this._clock.now() + operatorTimeoutMs;
		while (this._clock.now() < end) {
			const host = this._pickHost();
			// eslint-disable-next-line no-await-in-loop -- polls until the change is in force
			const reply = host && await this._withTimeout(host.host!.control.client.inForce(change.revision, 1000));
			if (reply?.inForce) {
				change.inForceAt = this._clock.now();
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- pause between polls
			await sleep(this._clock, 100);
		}
	}

	private _pickHost(): SimulatedHost | undefined {
		const up = this._hosts.filter(({isUp}) => isUp);
		return up[this._random.integer(up.length)];
	}

	/** Limits the time of a call, because a host that crashes during the call never replies. */
	private async _withTimeout<Value>(promise: Promise<Value>): Promise<Value | undefined> {
		const timeout = async () => {
			await sleep(this._clock, 12_000);
			return undefined;
		};

		try {
			return await Promise.race([promise, timeout()]);
		} catch {
			return undefined;
		}
	}
}
