import {type ApplyRouting} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type RoutingRecord} from './routing-record.js';

/** The current routing configuration, part of the control state. */
export class RoutingState {
	private _record: RoutingRecord | undefined;

	/** The configuration with the highest version; undefined before the first one. */
	get record(): RoutingRecord | undefined {
		return this._record;
	}

	/** Replaces the configuration by one with a higher version; ignores any other. */
	apply(index: number, {version, source}: ApplyRouting): ControlResult {
		if (this._record && this._record.version >= version) {
			return {status: 'ignored', reason: `version ${this._record.version} is in place`};
		}

		this._record = {version, source, revision: index};
		return {status: 'accepted', revision: index};
	}

	restore(record: RoutingRecord | undefined): void {
		this._record = record;
	}
}
