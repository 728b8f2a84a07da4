import {type AppendReply} from './append-reply.js';
import {type AppendRequest} from './append-request.js';
import {type CoreState} from './core-state.js';
import {type Snapshot} from './snapshot.js';
import {LogLostError} from './storage-errors.js';

type Respond = (reply: AppendReply) => void;

/** Handles entries and snapshots from the leader. */
export class FollowerRole {
	constructor(private readonly _state: CoreState) {}

	receiveAppend(request: AppendRequest, respond: Respond): void {
		const state = this._state;
		if (!this._acceptLeader(request, respond)) {
			return;
		}

		state.knownCommandVersion = {membersIndex: state.log.membersIndex, version: request.commandVersion ?? 1};
		if (request.confirmedIndex > state.log.lastIndex) {
			state.fatalError = new LogLostError(`log data lost: entries up to ${request.confirmedIndex} were confirmed, but the log ends at ${state.log.lastIndex}`);
			return;
		}

		const endIndex = request.prevIndex + request.entries.length;
		const isHeartbeat = request.entries.length === 0;
		if (endIndex <= state.commitIndex) {
			this._accept(endIndex, isHeartbeat, respond);
			return;
		}

		const {prevIndex, prevTerm, entries} = this._trimCommitted(request);
		if (state.log.termAt(prevIndex) !== prevTerm) {
			this._reject(prevIndex, respond);
			return;
		}

		this._append(entries);
		state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, endIndex));
		this._accept(endIndex, isHeartbeat, respond);
	}

	receiveSnapshot(sender: {term: number; from: string}, snapshot: Snapshot, respond: Respond): void {
		const state = this._state;
		if (!this._acceptLeader(sender, respond)) {
			return;
		}

		if (snapshot.index > state.commitIndex) {
			if (state.log.termAt(snapshot.index) === snapshot.term) {
				state.commitIndex = snapshot.index;
			} else {
				state.installSnapshot(snapshot);
			}
		}

		this._accept(snapshot.index, false, respond);
	}

	/** Checks the sender's term and follows it as leader. */
	private _acceptLeader({term, from}: {term: number; from: string}, respond: Respond): boolean {
		const state = this._state;
		if (term < state.term) {
			this._reject(state.log.lastIndex, respond);
			return false;
		}

		if (term > state.term) {
			state.enterTerm(term);
		}

		state.becomeFollower(from);
		state.leaderContactAt = state.now;
		state.resetElectionTimer();
		return true;
	}

	/** Drops the entries that are already committed here: they match this log, which may have been compacted. */
	private _trimCommitted({prevIndex, prevTerm, entries}: AppendRequest): Pick<AppendRequest, 'prevIndex' | 'prevTerm' | 'entries'> {
		const {commitIndex, log} = this._state;
		if (prevIndex >= commitIndex) {
			return {prevIndex, prevTerm, entries};
		}

		return {prevIndex: commitIndex, prevTerm: log.termAt(commitIndex)!, entries: entries.slice(commitIndex - prevIndex)};
	}

	private _append(entries: AppendRequest['entries']): void {
		const state = this._state;
		const firstNew = entries.findIndex(entry => state.log.termAt(entry.index) !== entry.term);
		if (firstNew !== -1) {
			state.appendEntries(entries.slice(firstNew));
			state.becomeFollower(state.leaderId);
		}
	}

	private _accept(matchIndex: number, isHeartbeat: boolean, respond: Respond): void {
		const state = this._state;
		const {term} = state;
		if (isHeartbeat && state.isTermSynced) {
			// A heartbeat is answered at once, because a slow sync must not delay it. Only synced entries are confirmed.
			const synced = Math.min(matchIndex, state.syncedIndex);
			respond({
				term, isAccepted: true, matchIndex: synced, nextIndex: synced + 1,
			});
			return;
		}

		state.defer(() => {
			respond({
				term, isAccepted: true, matchIndex, nextIndex: matchIndex + 1,
			});
		}, () => {
			this._rejectEndedTerm(term, respond);
		});
	}

	private _reject(prevIndex: number, respond: Respond): void {
		const state = this._state;
		const {term} = state;
		const nextIndex = this._retryIndex(prevIndex);
		const reply = {
			term, isAccepted: false, matchIndex: 0, nextIndex,
		};
		state.defer(() => {
			respond(reply);
		}, () => {
			this._rejectEndedTerm(term, respond);
		});
	}

	private _rejectEndedTerm(term: number, respond: Respond): void {
		respond({
			term, isAccepted: false, matchIndex: 0, nextIndex: this._state.commitIndex + 1,
		});
	}

	/** Index at which the leader should retry: the first uncommitted entry of the conflicting term. */
	private _retryIndex(prevIndex: number): number {
		const {log, commitIndex} = this._state;
		if (prevIndex > log.lastIndex) {
			return log.lastIndex + 1;
		}

		const conflicting = log.termAt(prevIndex);
		let index = prevIndex;
		while (index > commitIndex + 1 && log.termAt(index - 1) === conflicting) {
			index--;
		}

		return Math.max(commitIndex + 1, index);
	}
}
