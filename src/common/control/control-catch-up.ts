import {type AppliedEntry} from '../consensus/applied-entry.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {type ControlSnapshot} from './renew-message.js';

/** Entries or a snapshot that a daemon lacks. */
export interface CatchUp {
	readonly entries: ReadonlyArray<AppliedEntry<ControlCommand>>;
	readonly snapshot?: ControlSnapshot;
	/** Index up to which the daemon has applied the log once it has applied this data. */
	readonly lastIndex: number;
}

/** Maximum number of entries per reply. A daemon that lacks more gets a snapshot, whose size does not grow with the lag. */
const maxEntries = 256;

/** Selects the entries or the snapshot to send to a daemon that lags behind. */
export class ControlCatchUp {
	private readonly _snapshots = new Map<boolean, ControlSnapshot>();

	constructor(private readonly _log: ReplicatedLog<ControlCommand, ControlResult>, private readonly _state: ControlState) {}

	/**
	Returns the data that a daemon lacks after it has applied the log up to index `applied`. The routing configuration is
	left out for a daemon that gets it apart from the renewals.
	*/
	after(applied: number, withRouting = true): CatchUp {
		const target = this._log.appliedIndex;
		if (applied >= target) {
			return {entries: [], lastIndex: applied};
		}

		const entries = target - applied <= maxEntries ? this._log.entriesAfter(applied, maxEntries) : undefined;
		if (entries) {
			return {entries: entries.map(entry => this._replaceRouting(entry, withRouting)), lastIndex: entries.at(-1)?.index ?? applied};
		}

		return {entries: [], snapshot: this._snapshotAt(target, withRouting), lastIndex: target};
	}

	/** Daemons that restart at the same time share one snapshot. */
	private _snapshotAt(index: number, withRouting: boolean): ControlSnapshot {
		let snapshot = this._snapshots.get(withRouting);
		if (snapshot?.index !== index) {
			const state = this._state.snapshot();
			snapshot = {index, state: withRouting ? state : {...state, routing: undefined}};
			this._snapshots.set(withRouting, snapshot);
		}

		return snapshot;
	}

	/**
	Empties an entry with a routing configuration that the daemon does not need: one that is not in place, because a daemon
	applies all entries of a reply before it uses the state. The one in place is sent as a whole, whatever its form in the log.
	*/
	private _replaceRouting(entry: AppliedEntry<ControlCommand>, withRouting: boolean): AppliedEntry<ControlCommand> {
		const {command, index} = entry;
		if (command?.type !== 'apply-routing' && command?.type !== 'change-routing') {
			return entry;
		}

		const {routing} = this._state;
		return {...entry, command: withRouting && routing?.revision === index ? {type: 'apply-routing', version: routing.version, source: routing.source} : undefined};
	}
}
