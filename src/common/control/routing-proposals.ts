import {hashString} from '../base/hash-string.js';
import {type TextCodec} from '../base/text-codec.js';
import {differenceOf} from '../base/text-difference.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {changeRoutingVersion} from './command-versions.js';
import {type ApplyRouting, type ChangeRouting, type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {baseMismatchCode} from './routing-state.js';

/**
Proposes routing configurations at the leader, one at a time. Once all members apply such commands, a configuration is
proposed as its difference to the one in place, so that a change costs its own size in the log.
*/
export class RoutingProposals {
	/** Settles, without an error, when the last proposal has. */
	private _last: Promise<unknown> = Promise.resolve();

	constructor(
		private readonly _log: ReplicatedLog<ControlCommand, ControlResult>,
		private readonly _state: ControlState,
		private readonly _codec: TextCodec,
	) {}

	/** Proposes a configuration after those proposed before. @throws the errors of `ReplicatedLog.propose`. */
	async propose(command: ApplyRouting): Promise<ControlResult> {
		const result = this._proposeAfter(this._last, command);
		// The next proposal follows whether or not this one fails; its caller handles the error.
		this._last = Promise.allSettled([result]);
		return result;
	}

	private async _proposeAfter(last: Promise<unknown>, command: ApplyRouting): Promise<ControlResult> {
		await last;
		return this._propose(command);
	}

	private async _propose(command: ApplyRouting): Promise<ControlResult> {
		if (this._log.commandVersion < changeRoutingVersion) {
			return this._log.propose(command);
		}

		const result = await this._log.propose(this._changeTo(command));
		// Another leader's configuration was in the log before this one.
		return result.status === 'rejected' && result.code === baseMismatchCode ? this._log.propose(command) : result;
	}

	private _changeTo({version, source}: ApplyRouting): ChangeRouting {
		const base = this._state.routing;
		// A version that is not higher has no effect, so its content is not needed.
		const difference = base && base.version >= version ? [] : differenceOf(base?.source ?? '', source);
		return {
			type: 'change-routing', version, base: base?.revision ?? 0, difference: this._codec.encode(JSON.stringify(difference)), checksum: hashString(source),
		};
	}
}
