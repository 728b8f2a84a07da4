import {type AppendReply} from './append-reply.js';
import {type AppendRequest} from './append-request.js';
import {type CoreOptions, CoreState} from './core-state.js';
import {Elections} from './elections.js';
import {FollowerRole} from './follower-role.js';
import {LeaderRole} from './leader-role.js';
import {type LogEntry} from './log-entry.js';
import {type Member} from './member.js';
import {type OutgoingRequest} from './outgoing-request.js';
import {role} from './role.js';
import {type Snapshot} from './snapshot.js';
import {type StoredState} from './stored-state.js';
import {type SyncWork} from './sync-work.js';
import {type VoteReply} from './vote-reply.js';
import {type VoteRequest} from './vote-request.js';

/**
Consensus core of one member: a deterministic state machine without I/O.
Each input carries the current time. After each input, the caller takes the requests to send and the work to sync.
*/
export class ConsensusCore {
	readonly state: CoreState;
	private readonly _elections: Elections;
	private readonly _follower: FollowerRole;
	private _leader: LeaderRole | undefined;

	constructor(options: CoreOptions, stored: StoredState, now: number) {
		this.state = new CoreState(options, stored, now);
		this._follower = new FollowerRole(this.state);
		this._elections = new Elections(this.state, () => {
			this._leader = new LeaderRole(this.state);
		});
	}

	/** State and operations of the leader; undefined unless this member leads. */
	get leader(): LeaderRole | undefined {
		return this.state.role === role.leader ? this._leader : undefined;
	}

	/** Time at which `tick` must be called next. */
	get nextDeadline(): number {
		return this.leader?.nextDeadline ?? this.state.electionDeadline;
	}

	/** Creates a new group. The first log entry holds its members and is the same on every member. */
	bootstrap(members: readonly Member[]): void {
		if (this.state.log.lastIndex === 0 && this.state.term === 0) {
			this.state.enterTerm(1);
			this.state.appendEntries([{index: 1, term: 1, members}]);
			this.state.becomeFollower(undefined);
		}
	}

	tick(now: number): void {
		this.state.now = now;
		this.leader?.tick();
		this._elections.tick();
	}

	/** Appends commands. @returns the entries; undefined if this member does not lead or is transferring leadership. */
	propose(commands: readonly unknown[], now: number): LogEntry[] | undefined {
		this.state.now = now;
		const {leader} = this;
		if (!leader || leader.isTransferring) {
			return undefined;
		}

		return commands.map(command => leader.append({command}));
	}

	/** Appends a membership change. @returns the entry; undefined if no change is possible now. */
	changeMembers(members: readonly Member[], now: number): LogEntry | undefined {
		this.state.now = now;
		const entry = this.leader?.changeMembers(members);
		this.leader?.flush();
		return entry;
	}

	/** Starts a leadership transfer. */
	transfer(now: number): void {
		this.state.now = now;
		this.leader?.transfer();
	}

	/** Sends the appended entries. */
	flush(): void {
		this.leader?.flush();
	}

	receiveVote(request: VoteRequest, now: number, respond: (reply: VoteReply) => void): void {
		this.state.now = now;
		this._elections.receiveRequest(request, respond);
	}

	receiveAppend(request: AppendRequest, now: number, respond: (reply: AppendReply) => void): void {
		this.state.now = now;
		this._follower.receiveAppend(request, this._withCommandVersion(respond));
	}

	receiveSnapshot(sender: {term: number; from: string; snapshot: Snapshot}, now: number, respond: (reply: AppendReply) => void): void {
		this.state.now = now;
		this._follower.receiveSnapshot(sender, sender.snapshot, this._withCommandVersion(respond));
	}

	/** Starts an election at once on request of the leader, unless that leader's term has ended. */
	receiveTransfer(term: number, now: number): void {
		this.state.now = now;
		if (term === this.state.term) {
			this._elections.campaignNow();
		}
	}

	receiveVoteReply(call: Extract<OutgoingRequest, {kind: 'vote'}>, reply: VoteReply, now: number): void {
		this.state.now = now;
		this._elections.receiveReply(call.request, reply);
	}

	receiveAppendReply(call: Extract<OutgoingRequest, {kind: 'append'}>, reply: AppendReply, now: number): void {
		this.state.now = now;
		if (reply.term > this.state.term) {
			this.state.enterTerm(reply.term);
		} else if (reply.term === this.state.term && call.request.term === reply.term) {
			this.leader?.receiveReply(call, reply);
		}
	}

	/** Records that a request failed or timed out. */
	receiveFailure(call: OutgoingRequest, now: number): void {
		this.state.now = now;
		if (call.kind === 'append' && call.request.term === this.state.term) {
			this.leader?.replication.receiveFailure(call);
		}
	}

	/** Records the end of a snapshot transfer; `index` is undefined if it failed. */
	finishSnapshot(call: Extract<OutgoingRequest, {kind: 'snapshot'}>, index: number | undefined, now: number): void {
		this.state.now = now;
		if (call.term === this.state.term) {
			this.leader?.replication.finishSnapshot(call, index);
			this.leader?.advanceCommit();
			this.leader?.flush();
		}
	}

	/** Records that work is durable and sends the messages that depend on it. */
	finishSync(work: SyncWork, now: number): void {
		this.state.now = now;
		this.state.finishSync(work);
		this.leader?.advanceCommit();
		this._elections.afterSync();
		for (const {term, send, refuse} of work.deferred) {
			if (term === this.state.term) {
				send();
			} else {
				refuse();
			}
		}
	}

	private _withCommandVersion(respond: (reply: AppendReply) => void): (reply: AppendReply) => void {
		return reply => {
			respond({...reply, commandVersion: this.state.commandVersion});
		};
	}
}
