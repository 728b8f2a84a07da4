import {type AppendReply} from './append-reply.js';
import {electionTimeoutMinMs, heartbeatIntervalMs, leaderLeaseMs} from './consensus-times.js';
import {CommitHold} from './commit-hold.js';
import {type CoreState} from './core-state.js';
import {type LogEntry} from './log-entry.js';
import {type Member} from './member.js';
import {type OutgoingRequest} from './outgoing-request.js';
import {quorumValue} from './quorum-rule.js';
import {Replication} from './replication.js';
import {role} from './role.js';

/** Leader of one term: replicates and commits entries, maintains the lease, and steps down when it loses its quorum. */
export class LeaderRole {
	/** Index of the empty entry that starts the term. */
	readonly startIndex: number;
	readonly replication: Replication;
	readonly commitHold = new CommitHold();
	private readonly _startedAt: number;
	private _heartbeatDue: number;
	/** Time from which entries may be sent again. */
	private _sendDue = -Infinity;
	/** Index of the last entry that was sent. */
	private _sentIndex = 0;
	/** Set when a leadership transfer starts; the leader then holds no lease for the rest of the term. */
	private _transfer: {to: Member; deadline: number; isSent: boolean} | undefined;

	constructor(private readonly _state: CoreState) {
		this.startIndex = _state.log.lastIndex + 1;
		this._startedAt = _state.now;
		this._heartbeatDue = _state.now;
		this.replication = new Replication(_state);
		_state.role = role.leader;
		_state.leaderId = _state.self;
		this.replication.updateMembers();
		this.append({});
		this.tick();
	}

	/** Time at which `tick` must be called next. */
	get nextDeadline(): number {
		return this.replication.isAllReleased ? this._heartbeatDue : Math.min(this._heartbeatDue, this._sendDue);
	}

	get isTransferring(): boolean {
		return this._transfer !== undefined;
	}

	/** Whether the empty entry that starts the term is committed. */
	get isEstablished(): boolean {
		return this._state.commitIndex >= this.startIndex;
	}

	hasLease(now: number): boolean {
		return this.isEstablished && !this._transfer && this._state.isVoter && now < this._quorumContactAt(now) + leaderLeaseMs;
	}

	tick(): void {
		const {now} = this._state;
		const contactAt = Math.max(this._startedAt, this._quorumContactAt(now));
		if (now - contactAt > electionTimeoutMinMs || now > (this._transfer?.deadline ?? Infinity)) {
			this._stepDown();
			return;
		}

		// A quorum of the others stores what this member cannot apply, and one of them can lead.
		if (this._state.isWriteHung && this._state.commitIndex > this._state.syncedIndex) {
			this.transfer();
		}

		if (now >= this._heartbeatDue) {
			this._heartbeatDue = now + heartbeatIntervalMs;
			this.replication.sendHeartbeats();
			this.flush();
			this.replication.sendAll();
			this.advanceCommit();
		} else {
			this.flush();
		}
	}

	/** Appends an entry. `flush` sends it. */
	append(content: Pick<LogEntry, 'command' | 'members'>): LogEntry {
		const {log, term} = this._state;
		const entry = {index: log.lastIndex + 1, term, ...content};
		if (this._state.now < this._sendDue && this.replication.isAllReleased) {
			this.replication.holdAfter(log.lastIndex);
		}

		this._state.appendEntries([entry]);
		if (entry.members) {
			this.replication.updateMembers();
		}

		return entry;
	}

	/** Sends the appended entries, or holds them back until the interval between two batches is over. */
	flush(): void {
		if (this.replication.isAllReleased || this._state.now >= this._sendDue) {
			this._release();
		}
	}

	/**
	Appends a membership change.
	@returns the entry; undefined before the leader is established, during a leadership transfer, or while an earlier change is uncommitted.
	*/
	changeMembers(members: readonly Member[]): LogEntry | undefined {
		const {log, commitIndex} = this._state;
		if (!this.isEstablished || this.isTransferring || log.membersIndex > commitIndex) {
			return undefined;
		}

		this.commitHold.end();
		return this.append({members});
	}

	/** Number of entries by which a member's synced log is behind the commit index and the latest membership change. */
	lagOf(id: string): number {
		const {commitIndex, log} = this._state;
		return Math.max(commitIndex, log.membersIndex) - (this.replication.progressOf(id)?.matchIndex ?? 0);
	}

	/** Time in milliseconds since a member last responded, measured from the send time of the request; 0 for this member. */
	msSinceContact(id: string): number {
		const {self, now} = this._state;
		return id === self ? 0 : now - Math.max(this._startedAt, this.replication.progressOf(id)?.lastContactAt ?? -Infinity);
	}

	receiveReply(call: Extract<OutgoingRequest, {kind: 'append'}>, reply: AppendReply): void {
		this.replication.receiveReply(call, reply);
		this.advanceCommit();
	}

	/** Commits the entries that a quorum has synced. Only an entry of the current term can advance the commit index. */
	advanceCommit(): void {
		const state = this._state;
		const index = quorumValue(state.rule, state.voters, voter => voter.id === state.self ? state.syncedIndex : this.replication.progressOf(voter.id)?.matchIndex ?? 0);
		if (index > state.commitIndex && state.log.termAt(index) === state.term && !this.commitHold.isActive(state.now)) {
			state.commitIndex = index;
			this.replication.sendCommitIndex();
		}

		if (!state.isVoter && state.commitIndex >= state.log.membersIndex) {
			this._stepDown();
			return;
		}

		this._continueTransfer();
	}

	/** Starts a leadership transfer to the voter with the highest match index. */
	transfer(): void {
		const {self, voters, now} = this._state;
		const others = voters.filter(voter => voter.id !== self);
		const matchOf = (voter: Member) => this.replication.progressOf(voter.id)?.matchIndex ?? 0;
		const to = others.sort((a, b) => matchOf(b) - matchOf(a))[0];
		if (to && !this._transfer) {
			this._transfer = {to, deadline: now + electionTimeoutMinMs, isSent: false};
			this._release();
			this._continueTransfer();
		}
	}

	/** Sends all outstanding entries. Entries that follow within the interval are held back and sent together. */
	private _release(): void {
		const {log, now, appendIntervalMs} = this._state;
		if (appendIntervalMs > 0 && log.lastIndex > this._sentIndex) {
			this._sentIndex = log.lastIndex;
			this._sendDue = now + appendIntervalMs;
		}

		this.replication.holdAfter(Infinity);
		this.replication.sendAll();
	}

	private _continueTransfer(): void {
		const {log, now, term} = this._state;
		const transfer = this._transfer;
		if (transfer && !transfer.isSent && this.replication.progressOf(transfer.to.id)?.matchIndex === log.lastIndex) {
			transfer.isSent = true;
			this._state.send({
				kind: 'transfer', to: transfer.to, sentAt: now, term,
			});
		}
	}

	private _stepDown(): void {
		this._state.becomeFollower(undefined);
		this._state.resetElectionTimer();
	}

	/** Latest time such that a quorum has answered a request sent at or after it. */
	private _quorumContactAt(now: number): number {
		const {rule, voters, self} = this._state;
		return quorumValue(rule, voters, voter => voter.id === self ? now : this.replication.progressOf(voter.id)?.lastContactAt ?? -Infinity);
	}
}
