import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type ControlFollower} from '../control/control-follower.js';
import {type EntryDirectory, type EntryIncarnation} from './entry-directory.js';

/** Directory of entry hosts, from the state of this daemon's control follower. */
export class ControlEntryDirectory implements EntryDirectory, Disposable {
	private readonly _live = new Map<string, number>();
	private readonly _onRemoved = new Emitter<EntryIncarnation>();
	private readonly _subscription: Disposable;

	constructor(private readonly _follower: ControlFollower) {
		this._subscription = _follower.onRevision(() => {
			this._update();
		});
		this._update();
	}

	get onRemoved(): Event<EntryIncarnation> {
		return this._onRemoved.event;
	}

	status({entry, incarnation}: EntryIncarnation): 'live' | 'removed' | 'absent' {
		const current = this._follower.view.entryHosts.get(entry)?.incarnation;
		if (current === incarnation) {
			return 'live';
		}

		const expired = this._follower.view.expiredEntryIncarnation(entry);
		return (current !== undefined && current > incarnation) || (expired !== undefined && expired >= incarnation) ? 'removed' : 'absent';
	}

	isCurrent(): boolean {
		return this._follower.lease.isValid();
	}

	dispose(): void {
		this._subscription.dispose();
		this._onRemoved.dispose();
	}

	/** Fires `onRemoved` for the incarnations that the last revision replaced or removed. */
	private _update(): void {
		const {entryHosts} = this._follower.view;
		for (const [entry, incarnation] of this._live) {
			if (entryHosts.get(entry)?.incarnation !== incarnation) {
				this._live.delete(entry);
				this._onRemoved.fire({entry, incarnation});
			}
		}

		for (const {host, incarnation} of entryHosts.values()) {
			this._live.set(host, incarnation);
		}
	}
}
