import {type AppendReply} from './append-reply.js';
import {type CoreState} from './core-state.js';
import {entrySize} from './entry-size.js';
import {type LogEntry} from './log-entry.js';
import {type Member} from './member.js';
import {type OutgoingRequest} from './outgoing-request.js';
import {Progress} from './progress.js';

/** Maximum number of entries in a batch. */
const maxBatchEntries = 1024;

/** Maximum size of a batch in characters, unless a single entry is larger. Bounds the parsing time of a message. */
const maxBatchSize = 512 * 1024;

/** Maximum number of batches in flight to one member. Four keep the link busy while the member syncs. */
const maxInFlight = 4;

type AppendCall = Extract<OutgoingRequest, {kind: 'append'}>;

/** Replicates the leader's log to the other members and tracks what they have synced. */
export class Replication {
	private readonly _progress = new Map<string, Progress>();
	/** Entries up to this index may be sent. */
	private _releasedIndex = Infinity;

	constructor(private readonly _state: CoreState) {}

	/** Highest version of commands that all members apply. */
	get commandVersion(): number {
		const {log, self, commandVersion} = this._state;
		return Math.min(commandVersion, ...log.members.map(({id}) => id === self ? commandVersion : this._progress.get(id)?.commandVersion ?? 1));
	}

	/** Highest version of commands that all members apply which have replied to this leader. */
	get repliedCommandVersion(): number {
		const versions = [...this._progress.values()].filter(({lastContactAt}) => lastContactAt > -Infinity).map(({commandVersion}) => commandVersion);
		return Math.min(this._state.commandVersion, ...versions);
	}

	progressOf(id: string): Progress | undefined {
		return this._progress.get(id);
	}

	/** Updates the tracked members after a membership change. */
	updateMembers(): void {
		const {log: {members, membersIndex, lastIndex}, knownCommandVersion: known} = this._state;
		for (const id of this._progress.keys()) {
			if (!members.some(member => member.id === id)) {
				this._progress.delete(id);
			}
		}

		for (const {id} of members) {
			if (id !== this._state.self && !this._progress.has(id)) {
				// The earlier leader has heard from the members, unless one has joined since.
				const commandVersion = known?.membersIndex === membersIndex ? known.version : 1;
				// Starts at the last entry, so that there is a first probe even if nothing new is proposed.
				this._progress.set(id, new Progress(Math.max(1, lastIndex), commandVersion));
			}
		}
	}

	/** Whether all entries may be sent. */
	get isAllReleased(): boolean {
		return this._releasedIndex >= this._state.log.lastIndex;
	}

	/** Holds back the entries after an index, until they are released. */
	holdAfter(index: number): void {
		this._releasedIndex = index;
	}

	/** Sends outstanding entries or snapshots to every member. */
	sendAll(): void {
		for (const member of this._peers()) {
			this._sendEntries(member);
		}
	}

	/** Sends a heartbeat to every member. */
	sendHeartbeats(): void {
		for (const member of this._peers()) {
			this._progress.get(member.id)!.isPaused = false;
			this._sendHeartbeat(member);
		}
	}

	/** Records a member's reply to an append request. */
	receiveReply(call: AppendCall, reply: AppendReply): void {
		const progress = this._progress.get(call.to.id);
		if (!progress) {
			return;
		}

		progress.lastContactAt = Math.max(progress.lastContactAt, call.sentAt);
		progress.commandVersion = reply.commandVersion ?? 1;
		this._releaseInFlight(progress, call);
		if (reply.isAccepted) {
			progress.confirm(reply.matchIndex);
			if (progress.mode === 'probe' && call.epoch === progress.epoch && call.request.entries.length > 0) {
				progress.mode = 'replicate';
			}
		} else if (call.epoch === progress.epoch && call.request.prevIndex > progress.matchIndex) {
			progress.restart(Math.min(reply.nextIndex, call.request.prevIndex));
		}

		this._sendEntries(call.to);
		this._sendCommitIndexTo(call.to, progress);
	}

	/** Sends the commit index at once to members with nothing in flight; the others get it with their next batch, and all do when entries are held back. */
	sendCommitIndex(): void {
		for (const member of this._peers()) {
			this._sendCommitIndexTo(member, this._progress.get(member.id)!);
		}
	}

	/** Records that an append request got no reply. Its entries may be lost and are sent again. */
	receiveFailure(call: AppendCall): void {
		const progress = this._progress.get(call.to.id);
		if (progress?.epoch === call.epoch && call.request.entries.length > 0 && progress.mode !== 'snapshot') {
			progress.restart(progress.matchIndex + 1);
			progress.isPaused = true;
		}
	}

	/** Records the end of a snapshot transfer; `index` is undefined if it failed. */
	finishSnapshot(call: Extract<OutgoingRequest, {kind: 'snapshot'}>, index: number | undefined): void {
		const progress = this._progress.get(call.to.id);
		if (progress?.mode === 'snapshot') {
			progress.confirm(index ?? 0);
			progress.restart(progress.matchIndex + 1);
			progress.isPaused = index === undefined;
		}
	}

	private _sendCommitIndexTo(member: Member, progress: Progress): void {
		const commitIndex = Math.min(progress.matchIndex, this._state.commitIndex);
		if (this.isAllReleased && progress.mode === 'replicate' && progress.inFlight === 0 && progress.sentCommitIndex < commitIndex) {
			this._sendHeartbeat(member);
		}
	}

	private _sendHeartbeat(member: Member): void {
		const {matchIndex} = this._progress.get(member.id)!;
		// Entries up to `matchIndex` always match, even if batches are reordered on the network.
		const prevIndex = this._state.log.termAt(matchIndex) === undefined ? 0 : matchIndex;
		this._sendAppend(member, prevIndex, []);
	}

	private _peers(): Member[] {
		return this._state.log.members.filter(member => this._progress.has(member.id));
	}

	private _sendEntries(member: Member): void {
		for (let progress = this._sendableProgress(member.id); progress; progress = this._sendableProgress(member.id)) {
			const {nextIndex} = progress;
			if (this._state.log.termAt(nextIndex - 1) === undefined) {
				this._sendSnapshot(member, progress);
				return;
			}

			const entries = this._batch(nextIndex);
			this._sendAppend(member, nextIndex - 1, entries);
			progress.inFlight++;
			progress.nextIndex += progress.mode === 'probe' ? 0 : entries.length;
		}
	}

	/** Progress of a member to which a batch can be sent now; undefined if there is nothing to send or sending is blocked. */
	private _sendableProgress(id: string): Progress | undefined {
		const progress = this._progress.get(id);
		if (!progress || progress.isPaused || progress.mode === 'snapshot' || progress.nextIndex > Math.min(this._releasedIndex, this._state.log.lastIndex)) {
			return undefined;
		}

		return progress.inFlight < (progress.mode === 'probe' ? 1 : maxInFlight) ? progress : undefined;
	}

	private _sendSnapshot(to: Member, progress: Progress): void {
		progress.restart(progress.nextIndex);
		progress.mode = 'snapshot';
		const {now, term} = this._state;
		this._state.send({
			kind: 'snapshot', to, sentAt: now, term,
		});
	}

	private _batch(nextIndex: number): LogEntry[] {
		const entries = this._state.log.after(nextIndex - 1, Math.min(maxBatchEntries, this._releasedIndex - nextIndex + 1));
		let size = 0;
		const end = entries.findIndex((entry, position) => {
			size += entrySize(entry);
			return position > 0 && size > maxBatchSize;
		});
		return end === -1 ? entries : entries.slice(0, end);
	}

	private _sendAppend(to: Member, prevIndex: number, entries: readonly LogEntry[]): void {
		const {log, now, term, self, commitIndex} = this._state;
		const progress = this._progress.get(to.id)!;
		const {epoch, matchIndex} = progress;
		progress.sentCommitIndex = Math.max(progress.sentCommitIndex, Math.min(commitIndex, prevIndex + entries.length));
		this._state.send({
			kind: 'append',
			to,
			sentAt: now,
			epoch,
			request: {
				term, from: self, to: to.id, prevIndex, prevTerm: log.termAt(prevIndex) ?? 0, entries, commitIndex, confirmedIndex: matchIndex, commandVersion: this.commandVersion,
			},
		});
	}

	private _releaseInFlight(progress: Progress, call: AppendCall): void {
		if (call.epoch === progress.epoch && call.request.entries.length > 0) {
			progress.inFlight = Math.max(0, progress.inFlight - 1);
		}
	}
}
