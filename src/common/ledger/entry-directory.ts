import {type Event} from '../base/event.js';

/** One process of an entry host. */
export interface EntryIncarnation {
	readonly entry: string;
	/** Start time of the process in Unix milliseconds. */
	readonly incarnation: number;
}

/** Directory of entry hosts for the ledger, updated by the control follower of the same daemon. */
export interface EntryDirectory {
	/** Fires when an incarnation is expired or superseded in the applied control state. */
	readonly onRemoved: Event<EntryIncarnation>;
	/**
	`live`: in the applied directory. `removed`: certainly expired or superseded. `absent`: not in the directory, but not
	known to have expired or been superseded, for example because this daemon has not applied the join yet.
	*/
	status(incarnation: EntryIncarnation): 'live' | 'removed' | 'absent';
	/** Whether this daemon holds a valid lease, so that the applied directory is at most one lease duration behind. */
	isCurrent(): boolean;
}
