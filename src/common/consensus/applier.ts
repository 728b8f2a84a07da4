import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type AppliedEntry} from './applied-entry.js';
import {type LogEntry} from './log-entry.js';
import {type MemberDriver} from './member-driver.js';
import {type MemberOptions} from './member-options.js';
import {type Snapshot} from './snapshot.js';

/** Maximum number of entries applied before yielding to other work in the event loop. */
const maxSliceEntries = 500;
/** Time in milliseconds after which a slice ends. A change of a routing configuration costs the length of the configuration. */
const maxSliceMs = 20;

/** Applies committed entries to the state machine in slices. */
export class Applier<Command, Result> implements Disposable {
	/** Index of the last applied entry. */
	appliedIndex = 0;
	private readonly _onApplied = new Emitter<AppliedEntry<Command>>();
	private _nextSlice: Disposable | undefined;
	private _isApplying = false;

	constructor(
		private readonly _driver: MemberDriver,
		private readonly _options: Pick<MemberOptions<Command, Result>, 'clock' | 'machine'>,
		private readonly _settle: (entry: LogEntry, result: Result) => void,
	) {}

	get onApplied() {
		return this._onApplied.event;
	}

	/** Restores the state machine from a snapshot, if the snapshot has a higher index. */
	restore({index, state}: Snapshot): void {
		if (index > this.appliedIndex) {
			this._options.machine.restore(JSON.parse(state));
			this.appliedIndex = index;
		}
	}

	/** Applies the entries that are committed and synced on this member. */
	apply(): void {
		if (this._isApplying || this._nextSlice) {
			return;
		}

		this._isApplying = true;
		const end = Math.min(this._driver.core.state.applicableIndex, this.appliedIndex + maxSliceEntries);
		const startedAt = this._options.clock.now();
		while (this.appliedIndex < end && this._options.clock.now() - startedAt < maxSliceMs) {
			this._applyEntry(this._driver.core.state.log.entryAt(this.appliedIndex + 1)!);
		}

		this._isApplying = false;
		if (this.appliedIndex < this._driver.core.state.applicableIndex && !this._driver.isStopped) {
			this._nextSlice = this._options.clock.setTimer(0, () => {
				this._nextSlice = undefined;
				this.apply();
			});
		}
	}

	dispose(): void {
		this._nextSlice?.dispose();
		this._onApplied.dispose();
	}

	private _applyEntry(entry: LogEntry): void {
		const {index, term} = entry;
		const command = entry.command as Command | undefined;
		this.appliedIndex = index;
		if (command === undefined) {
			this._onApplied.fire({index, term});
			return;
		}

		const result = this._options.machine.apply(index, command);
		this._settle(entry, result);
		this._onApplied.fire({index, term, command});
	}
}
