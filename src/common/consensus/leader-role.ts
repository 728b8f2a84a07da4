import {type AppendReply} from './append-reply.js';
import {electionTimeoutMinMs, heartbeatIntervalMs, leaderLeaseMs} from './consensus-times.js';
import {CommitHold} from './commit-hold.js';
import {type CoreState} from './core-state.js';
import {type LogEntry} from './log-entry.js';
import {type Member} from './member.js';
import {type Outgoing} from './outgoing.js';
import {quorumValue} from './quorum-rule.js';
import {Replication} from './replication.js';
import {role} from './role.js';

/** Leads one term: replicates, commits, keeps the lease and steps down without a quorum. */
export class LeaderRole {
	/** Index of the empty entry at the start of the term. */
	readonly startIndex: number;
	readonly replication: Replication;
	readonly commitHold = new CommitHold();
	private readonly _startedAt: number;
	private _heartbeatDue: number;
	/** Set once the role is being handed over; the lease never comes back in this term. */
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

	/** Time of the next heartbeat. */
	get heartbeatDue(): number {
		return this._heartbeatDue;
	}

	get isTransferring(): boolean {
		return this._transfer !== undefined;
	}

	/** Whether the entry at the start of the term is committed. */
	get isEstablished(): boolean {
		return this._state.commitIndex >= this.startIndex;
	}

	hasLease(now: number): boolean {
		return this.isEstablished && !this._transfer && this._state.isVoter && now < this._quorumHeardAt(now) + leaderLeaseMs;
	}

	tick(): void {
		const {now} = this._state;
		const heardAt = Math.max(this._startedAt, this._quorumHeardAt(now));
		if (now - heardAt > electionTimeoutMinMs || now > (this._transfer?.deadline ?? Infinity)) {
			this._stepDown();
			return;
		}

		if (now >= this._heartbeatDue) {
			this._heartbeatDue = now + heartbeatIntervalMs;
			this.replication.sendHeartbeats();
			this.replication.sendAll();
			this.advanceCommit();
		}
	}

	/** Appends an entry. The caller sends it with `flush`. */
	append(content: Pick<LogEntry, 'command' | 'members'>): LogEntry {
		const {log, term} = this._state;
		const entry = {index: log.lastIndex + 1, term, ...content};
		this._state.appendEntries([entry]);
		if (entry.members) {
			this.replication.updateMembers();
		}

		return entry;
	}

	/** Sends what was appended. */
	flush(): void {
		this.replication.sendAll();
	}

	/**
	Appends a change of members.
	@returns the entry; undefined while an earlier change is not committed.
	*/
	changeMembers(members: readonly Member[]): LogEntry | undefined {
		const {log, commitIndex} = this._state;
		if (!this.isEstablished || this.isTransferring || log.membersIndex > commitIndex) {
			return undefined;
		}

		this.commitHold.end();
		return this.append({members});
	}

	/** Number of committed entries that a member has not synced. */
	lagOf(id: string): number {
		const {commitIndex, log} = this._state;
		return Math.max(commitIndex, log.membersIndex) - (this.replication.progressOf(id)?.matchIndex ?? 0);
	}

	/** Time in milliseconds for which a member has not answered; 0 for this one. */
	silentMs(id: string): number {
		const {self, now} = this._state;
		return id === self ? 0 : now - Math.max(this._startedAt, this.replication.progressOf(id)?.heardSentAt ?? -Infinity);
	}

	receiveReply(call: Extract<Outgoing, {kind: 'append'}>, reply: AppendReply): void {
		this.replication.receiveReply(call, reply);
		this.advanceCommit();
	}

	/** Commits what a quorum has synced. Only entries of the own term are counted. */
	advanceCommit(): void {
		const state = this._state;
		const index = quorumValue(state.rule, state.voters, voter => voter.id === state.self ? state.syncedIndex : this.replication.progressOf(voter.id)?.matchIndex ?? 0);
		if (index > state.commitIndex && state.log.termAt(index) === state.term && !this.commitHold.isActive(state.now)) {
			state.commitIndex = index;
			this.replication.tellCommit();
		}

		if (!state.isVoter && state.commitIndex >= state.log.membersIndex) {
			this._stepDown();
			return;
		}

		this._continueTransfer();
	}

	/** Starts to hand the role over to the voter with the longest log. */
	transfer(): void {
		const {self, voters, now} = this._state;
		const others = voters.filter(voter => voter.id !== self);
		const matchOf = (voter: Member) => this.replication.progressOf(voter.id)?.matchIndex ?? 0;
		const to = others.sort((a, b) => matchOf(b) - matchOf(a))[0];
		if (to && !this._transfer) {
			this._transfer = {to, deadline: now + electionTimeoutMinMs, isSent: false};
			this._continueTransfer();
		}
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
		this._state.follow(undefined);
		this._state.resetElectionTimer();
	}

	/** Latest time since which a quorum has not stopped answering. */
	private _quorumHeardAt(now: number): number {
		const {rule, voters, self} = this._state;
		return quorumValue(rule, voters, voter => voter.id === self ? now : this.replication.progressOf(voter.id)?.heardSentAt ?? -Infinity);
	}
}
