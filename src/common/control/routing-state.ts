import {hashString} from '../base/hash-string.js';
import {type TextCodec} from '../base/text-codec.js';
import {applyDifference, type TextDifference} from '../base/text-difference.js';
import {type ApplyRouting, type ChangeRouting} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type RoutingRecord} from './routing-record.js';

/** Code of the refusal of a difference whose base is not in place. */
export const baseMismatchCode = 'routing-base-mismatch';

/** The current routing configuration, part of the control state. */
export class RoutingState {
	private _record: RoutingRecord | undefined;

	constructor(private readonly _codec: TextCodec) {}

	/** The configuration with the highest version; undefined before the first one. */
	get record(): RoutingRecord | undefined {
		return this._record;
	}

	/** Replaces the configuration by one with a higher version; ignores any other. */
	apply(index: number, command: ApplyRouting | ChangeRouting): ControlResult {
		const {version} = command;
		if (this._record && this._record.version >= version) {
			return {status: 'ignored', reason: `version ${this._record.version} is in place`};
		}

		const source = command.type === 'apply-routing' ? command.source : this._sourceOf(command);
		if (source === undefined) {
			return {status: 'rejected', code: baseMismatchCode, message: `version ${version} is a change to revision ${command.type === 'change-routing' ? command.base : index}, which is not in place`};
		}

		this._record = {version, source, revision: index};
		return {status: 'accepted', revision: index};
	}

	restore(record: RoutingRecord | undefined): void {
		this._record = record;
	}

	/** Text of a configuration that is submitted as a difference; undefined when the difference does not fit the one in place. */
	private _sourceOf({base, difference, checksum}: ChangeRouting): string | undefined {
		if (base !== 0 && base !== this._record?.revision) {
			return undefined;
		}

		try {
			const source = applyDifference(base === 0 ? '' : this._record!.source, JSON.parse(this._codec.decode(difference)) as TextDifference);
			return hashString(source) === checksum ? source : undefined;
		} catch {
			// The refusal reports it; all members refuse the same data.
			return undefined;
		}
	}
}
