import {type AppError} from '../base/app-error.js';
import {type RandomSource} from '../base/random-source.js';
import {
	electionRetryMs, electionDeferralMs, electionTimeoutMaxMs, electionTimeoutMinMs, heartbeatIntervalMs, hungWriteMs, electionJitterMs,
} from './consensus-times.js';
import {type DeferredMessage} from './deferred-message.js';
import {EntryLog} from './entry-log.js';
import {type Member} from './member.js';
import {type OutgoingRequest} from './outgoing-request.js';
import {type QuorumRule} from './quorum-rule.js';
import {role, type Role} from './role.js';
import {type Snapshot} from './snapshot.js';
import {type StoredState} from './stored-state.js';
import {type SyncWork} from './sync-work.js';

/** Options of a `ConsensusCore`. */
export interface CoreOptions {
	/** Identity of this member. */
	readonly self: string;
	readonly rule: QuorumRule;
	readonly random: RandomSource;
	/** Highest version of commands that the state machine of this member applies; 1 by default. */
	readonly commandVersion?: number | undefined;
	/** Minimum interval in milliseconds between two batches of new entries of a leader; 0 by default. */
	readonly appendIntervalMs?: number | undefined;
	/** Start time of the process, if known. An earlier process cannot have acknowledged a heartbeat after it. */
	readonly startedAt?: number;
}

/** State shared by the parts of the core. Performs no I/O: the caller sends the messages and syncs to disk. */
export class CoreState {
	readonly self: string;
	readonly rule: QuorumRule;
	readonly log = new EntryLog();
	readonly commandVersion: number;
	readonly appendIntervalMs: number;
	/** Time of the current input in milliseconds, from the caller's monotonic clock. */
	now: number;
	term: number;
	vote: string | undefined;
	role: Role = role.learner;
	/** Identity of the leader in the current term, if known. */
	leaderId: string | undefined;
	commitIndex: number;
	/** Index up to which this member's log is synced. */
	syncedIndex: number;
	/** Version of commands that all members of the given configuration apply, as the last leader knew. */
	knownCommandVersion: {readonly membersIndex: number; readonly version: number} | undefined;
	/** Time of the last request from a valid leader. */
	leaderContactAt: number;
	electionDeadline = 0;
	/** Set when this member must stop permanently. */
	fatalError: AppError | undefined;

	private readonly _random: RandomSource;
	private _requests: OutgoingRequest[] = [];
	private _deferred: DeferredMessage[] = [];
	private _syncedTerm: number;
	private _isHardStateDirty = false;
	/** Index up to which entries have been submitted for syncing. */
	private _submittedIndex: number;
	private _pendingSnapshot: Snapshot | undefined;
	/** Start of the write in progress. */
	private _writingSince: number | undefined;

	constructor(options: CoreOptions, stored: StoredState, now: number) {
		this.self = options.self;
		this.rule = options.rule;
		this.commandVersion = options.commandVersion ?? 1;
		this.appendIntervalMs = options.appendIntervalMs ?? 0;
		this._random = options.random;
		this.now = now;
		this.term = stored.term;
		this._syncedTerm = stored.term;
		this.vote = stored.vote;
		this._restoreLog(stored);
		this.commitIndex = Math.min(this.log.lastIndex, Math.max(stored.commitIndex, stored.snapshot?.index ?? 0));
		this.syncedIndex = this.log.lastIndex;
		this._submittedIndex = this.log.lastIndex;
		// Before a restart, this member may have acknowledged a heartbeat and thereby agreed to grant no vote for one
		// election timeout. It still does so, counted from the start of the process, or from now if that is unknown.
		this.leaderContactAt = options.startedAt ?? now;
		this.resetElectionTimer();
		if (options.startedAt !== undefined) {
			// A live leader sends a heartbeat within one interval, but after a restart of all members there is no leader to
			// wait for. Half an interval is enough, because the pre-vote fails while a leader is alive.
			this.electionDeadline = Math.max(now, this.leaderContactAt + electionTimeoutMinMs) + this._randomDelay(heartbeatIntervalMs / 2, electionJitterMs);
		}

		this.becomeFollower(undefined);
	}

	get voters(): Member[] {
		return this.log.members.filter(member => member.isVoter);
	}

	get isVoter(): boolean {
		return this.log.members.some(member => member.id === this.self && member.isVoter);
	}

	/** Whether the current term and vote are synced. */
	get isTermSynced(): boolean {
		return !this._isHardStateDirty && this._syncedTerm === this.term;
	}

	/** Index up to which entries may be applied: committed, and synced on this member. */
	get applicableIndex(): number {
		return Math.min(this.commitIndex, this.syncedIndex);
	}

	/** Whether the storage has not finished the current write for so long that this member must not lead. */
	get isWriteHung(): boolean {
		return this._writingSince !== undefined && this.now - this._writingSince > hungWriteMs;
	}

	isQuorum(predicate: (voter: Member) => boolean): boolean {
		return this.rule.isQuorum(this.voters, predicate);
	}

	resetElectionTimer(): void {
		this.electionDeadline = this.now + this._randomDelay(electionTimeoutMinMs, electionTimeoutMaxMs - electionTimeoutMinMs);
	}

	/** Schedules the next election in case the one that just started fails. */
	scheduleElectionRetry(): void {
		const {min, max} = electionRetryMs;
		this.electionDeadline = this.now + this._randomDelay(min, max - min);
	}

	/** Delays this member's next election so that the current candidate can win. */
	deferElection(): void {
		this.electionDeadline = Math.max(this.electionDeadline, this.now + this._randomDelay(electionDeferralMs, electionJitterMs));
	}

	/** Becomes a follower, or a learner if this member is not a voter. */
	becomeFollower(leaderId: string | undefined): void {
		this.role = this.isVoter ? role.follower : role.learner;
		this.leaderId = leaderId;
	}

	/** Adopts a higher term. */
	enterTerm(term: number, vote?: string): void {
		this.term = term;
		this.vote = vote;
		this._isHardStateDirty = true;
		this.becomeFollower(undefined);
	}

	/** Votes for a candidate in the current term. */
	setVote(candidate: string): void {
		if (this.vote !== candidate) {
			this.vote = candidate;
			this._isHardStateDirty = true;
		}
	}

	/** Appends entries and overwrites existing ones from the first entry's index on. */
	appendEntries(entries: LogEntries): void {
		const first = entries[0];
		if (first) {
			this._submittedIndex = Math.min(this._submittedIndex, first.index - 1);
			this.syncedIndex = Math.min(this.syncedIndex, first.index - 1);
			this.log.append(entries);
		}
	}

	/** Replaces the log with a received snapshot. */
	installSnapshot(snapshot: Snapshot): void {
		this.log.reset(snapshot.index, snapshot.term, snapshot.members);
		this.commitIndex = snapshot.index;
		this._submittedIndex = snapshot.index;
		this.syncedIndex = 0;
		this._pendingSnapshot = snapshot;
	}

	/** Queues a request that can be sent before the current state is synced. */
	send(request: OutgoingRequest): void {
		this._requests.push(request);
	}

	/** Calls `send` once the current state is synced, or `refuse` if the term has changed by then. */
	defer(send: () => void, refuse: () => void): void {
		this._deferred.push({term: this.term, send, refuse});
	}

	takeRequests(): OutgoingRequest[] {
		const requests = this._requests;
		this._requests = [];
		return requests;
	}

	/** The next work to sync. When it is durable, the caller passes it to `finishSync` and then takes the next work. */
	takeSyncWork(): SyncWork | undefined {
		const hasBatch = this._isHardStateDirty || this._submittedIndex < this.log.lastIndex || this._pendingSnapshot !== undefined;
		if (!hasBatch && this._deferred.length === 0) {
			return undefined;
		}

		const snapshot = this._pendingSnapshot;
		const {term, vote, commitIndex} = this;
		const entries = this.log.after(this._submittedIndex, this.log.lastIndex - this._submittedIndex);
		const reset = snapshot && {index: snapshot.index, term: snapshot.term};
		const work: SyncWork = {
			snapshot,
			batch: hasBatch
				? {
					term, vote, commitIndex, reset, entries,
				}
				: undefined,
			last: {index: this.log.lastIndex, term: this.log.lastTerm},
			deferred: this._deferred,
		};
		this._submittedIndex = this.log.lastIndex;
		this._isHardStateDirty = false;
		this._pendingSnapshot = undefined;
		this._deferred = [];
		this._writingSince = hasBatch ? this.now : undefined;
		return work;
	}

	/** Records that work is durable. */
	finishSync(work: SyncWork): void {
		this._writingSince = undefined;
		if (work.batch) {
			this._syncedTerm = work.batch.term;
			// A new leader may have overwritten the entries during the sync.
			if (this.log.termAt(work.last.index) === work.last.term && work.last.index <= this._submittedIndex) {
				this.syncedIndex = Math.max(this.syncedIndex, work.last.index);
			}
		}
	}

	/** Random delay in milliseconds from `minMs` to below `minMs + rangeMs`. */
	private _randomDelay(minMs: number, rangeMs: number): number {
		return minMs + Math.floor(this._random.next() * rangeMs);
	}

	private _restoreLog({snapshot, base, entries, groupId}: StoredState): void {
		if (snapshot ?? groupId) {
			this.log.reset(base.index, base.term, snapshot?.members ?? []);
		}

		this.log.append(entries);
	}
}

type LogEntries = Parameters<EntryLog['append']>[0];
