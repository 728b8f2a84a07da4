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
	private _snapshot: ControlSnapshot | undefined;

	constructor(private readonly _log: ReplicatedLog<ControlCommand, ControlResult>, private readonly _state: ControlState) {}

	/** Returns the data that a daemon lacks after it has applied the log up to index `applied`. */
	after(applied: number): CatchUp {
		const target = this._log.appliedIndex;
		if (applied >= target) {
			return {entries: [], lastIndex: applied};
		}

		const entries = target - applied <= maxEntries ? this._log.entriesAfter(applied, maxEntries) : undefined;
		if (entries) {
			return {entries: entries.map(entry => this._withoutReplacedRouting(entry)), lastIndex: entries.at(-1)?.index ?? applied};
		}

		// Daemons that restart at the same time share one snapshot.
		if (this._snapshot?.index !== target) {
			this._snapshot = {index: target, state: this._state.snapshot()};
		}

		return {entries: [], snapshot: this._snapshot, lastIndex: target};
	}

	/**
	Empties an entry with a routing configuration that is not in place: a daemon applies all entries of a reply before it uses
	the state, and several large configurations take too long on a slow link.
	*/
	private _withoutReplacedRouting(entry: AppliedEntry<ControlCommand>): AppliedEntry<ControlCommand> {
		return entry.command?.type === 'apply-routing' && entry.index !== this._state.routing?.revision ? {...entry, command: undefined} : entry;
	}
}
