import {type AppError} from '../base/app-error.js';
import {type RandomSource} from '../base/random-source.js';
import {
	candidacyRetryMs, candidacyYieldMs, electionTimeoutMaxMs, electionTimeoutMinMs, heartbeatIntervalMs, restartSpreadMs,
} from './consensus-times.js';
import {type Deferred} from './deferred.js';
import {EntryLog} from './entry-log.js';
import {type Member} from './member.js';
import {type Outgoing} from './outgoing.js';
import {type QuorumRule} from './quorum-rule.js';
import {role, type Role} from './role.js';
import {type Snapshot} from './snapshot.js';
import {type StoredState} from './stored-state.js';
import {type SyncWork} from './sync-work.js';

/** What a member's core is made from. */
export interface CoreOptions {
	/** Identity of this member. */
	readonly self: string;
	readonly rule: QuorumRule;
	readonly random: RandomSource;
	/** Time at which the process started, where that is known; an earlier process gave no promise after it. */
	readonly startedAt?: number;
}

/** State shared by the parts of the core. Performs no I/O; the owner moves messages and syncs. */
export class CoreState {
	readonly self: string;
	readonly rule: QuorumRule;
	readonly log = new EntryLog();
	/** Time of the current input, in milliseconds of the owner's monotonic clock. */
	now: number;
	term: number;
	vote: string | undefined;
	role: Role = role.learner;
	/** Identity of the leader of the term, where known. */
	leaderId: string | undefined;
	commitIndex: number;
	/** Index up to which the own log is synced. */
	syncedIndex: number;
	/** Latest time at which the leader of a term was heard. */
	heardLeaderAt: number;
	electionDeadline = 0;
	/** Set when this member must stop for good. */
	fatal: AppError | undefined;

	private readonly _random: RandomSource;
	private _sends: Outgoing[] = [];
	private _deferred: Deferred[] = [];
	private _syncedTerm: number;
	private _isHardStateDirty = false;
	/** Entries up to this index have been handed over for syncing. */
	private _handedIndex: number;
	private _pendingSnapshot: Snapshot | undefined;

	constructor(options: CoreOptions, stored: StoredState, now: number) {
		this.self = options.self;
		this.rule = options.rule;
		this._random = options.random;
		this.now = now;
		this.term = stored.term;
		this._syncedTerm = stored.term;
		this.vote = stored.vote;
		this._restoreLog(stored);
		this.commitIndex = Math.min(this.log.lastIndex, Math.max(stored.commitIndex, stored.snapshot?.index ?? 0));
		this.syncedIndex = this.log.lastIndex;
		this._handedIndex = this.log.lastIndex;
		// A member that restarts may have promised its vote to nobody for one election timeout: it keeps that promise,
		// which it gave before the process started.
		this.heardLeaderAt = options.startedAt ?? now;
		this.resetElectionTimer();
		if (options.startedAt !== undefined) {
			// A leader that lives is heard within a heartbeat; after a loss of all members nobody must wait for one. Half an interval is enough: the pre-vote fails while a leader lives.
			this.electionDeadline = Math.max(now, this.heardLeaderAt + electionTimeoutMinMs) + this._spread(heartbeatIntervalMs / 2, restartSpreadMs);
		}

		this.follow(undefined);
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

	/** Index up to which entries may be applied: committed and synced here. */
	get applicableIndex(): number {
		return Math.min(this.commitIndex, this.syncedIndex);
	}

	isQuorum(holds: (voter: Member) => boolean): boolean {
		return this.rule.isQuorum(this.voters, holds);
	}

	resetElectionTimer(): void {
		this.electionDeadline = this.now + this._spread(electionTimeoutMinMs, electionTimeoutMaxMs - electionTimeoutMinMs);
	}

	/** Sets the time at which a candidacy that has just begun is repeated. */
	awaitVotes(): void {
		const {least, most} = candidacyRetryMs;
		this.electionDeadline = this.now + this._spread(least, most - least);
	}

	/** Holds an own candidacy back for the one of another member. */
	yieldCandidacy(): void {
		this.electionDeadline = Math.max(this.electionDeadline, this.now + this._spread(candidacyYieldMs, restartSpreadMs));
	}

	/** Takes the role of a follower, or of a learner without a vote. */
	follow(leaderId: string | undefined): void {
		this.role = this.isVoter ? role.follower : role.learner;
		this.leaderId = leaderId;
	}

	/** Adopts a higher term. */
	enterTerm(term: number, vote?: string): void {
		this.term = term;
		this.vote = vote;
		this._isHardStateDirty = true;
		this.follow(undefined);
	}

	/** Votes for a candidate in the current term. */
	setVote(candidate: string): void {
		if (this.vote !== candidate) {
			this.vote = candidate;
			this._isHardStateDirty = true;
		}
	}

	/** Replaces the tail of the log from the first entry on. */
	appendEntries(entries: LogEntries): void {
		const first = entries[0];
		if (first) {
			this._handedIndex = Math.min(this._handedIndex, first.index - 1);
			this.syncedIndex = Math.min(this.syncedIndex, first.index - 1);
			this.log.append(entries);
		}
	}

	/** Replaces the log by a received snapshot. */
	installSnapshot(snapshot: Snapshot): void {
		this.log.reset(snapshot.index, snapshot.term, snapshot.members);
		this.commitIndex = snapshot.index;
		this._handedIndex = snapshot.index;
		this.syncedIndex = 0;
		this._pendingSnapshot = snapshot;
	}

	/** Sends a request that depends on nothing that is not synced. */
	send(outgoing: Outgoing): void {
		this._sends.push(outgoing);
	}

	/** Sends a message once the present state is synced, unless the term has ended by then. */
	defer(send: () => void, refuse: () => void): void {
		this._deferred.push({term: this.term, send, refuse});
	}

	takeSends(): Outgoing[] {
		const sends = this._sends;
		this._sends = [];
		return sends;
	}

	/** The next work for the disk. The caller passes it to `finishSync` when it is durable, and then takes the next. */
	takeSyncWork(): SyncWork | undefined {
		const hasBatch = this._isHardStateDirty || this._handedIndex < this.log.lastIndex || this._pendingSnapshot !== undefined;
		if (!hasBatch && this._deferred.length === 0) {
			return undefined;
		}

		const snapshot = this._pendingSnapshot;
		const {term, vote, commitIndex} = this;
		const entries = this.log.after(this._handedIndex, this.log.lastIndex - this._handedIndex);
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
		this._handedIndex = this.log.lastIndex;
		this._isHardStateDirty = false;
		this._pendingSnapshot = undefined;
		this._deferred = [];
		return work;
	}

	/** Records that work is durable. */
	finishSync(work: SyncWork): void {
		if (work.batch) {
			this._syncedTerm = work.batch.term;
			// The entries may have been replaced by those of a new leader while they were synced.
			if (this.log.termAt(work.last.index) === work.last.term && work.last.index <= this._handedIndex) {
				this.syncedIndex = Math.max(this.syncedIndex, work.last.index);
			}
		}
	}

	/** Random time in milliseconds from a least one on. */
	private _spread(leastMs: number, rangeMs: number): number {
		return leastMs + Math.floor(this._random.next() * rangeMs);
	}

	private _restoreLog({snapshot, base, entries, groupId}: StoredState): void {
		if (snapshot ?? groupId) {
			this.log.reset(base.index, base.term, snapshot?.members ?? []);
		}

		this.log.append(entries);
	}
}

type LogEntries = Parameters<EntryLog['append']>[0];
