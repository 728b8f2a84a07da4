import {electionTimeoutMinMs} from './consensus-times.js';
import {type CoreState} from './core-state.js';
import {role} from './role.js';
import {type VoteReply} from './vote-reply.js';
import {type VoteRequest} from './vote-request.js';

/** Leader election with pre-vote, for both candidates and voters. */
export class Elections {
	private _granted = new Set<string>();
	private _isPreVote = false;
	private _isTransfer = false;

	constructor(private readonly _state: CoreState, private readonly _onElected: () => void) {}

	/** Starts an election when the election timeout has expired. */
	tick(): void {
		const state = this._state;
		if (state.role === role.leader || state.now < state.electionDeadline) {
			return;
		}

		if (!state.isVoter) {
			state.resetElectionTimer();
		} else if (state.isWriteHung) {
			state.deferElection();
		} else {
			this._startPreVote();
		}
	}

	/** Starts an election at once, on request of a leader that transfers leadership. */
	campaignNow(): void {
		if (this._state.isVoter && this._state.role !== role.leader && !this._state.isWriteHung) {
			this._startVote(true);
		}
	}

	receiveRequest(request: VoteRequest, respond: (reply: VoteReply) => void): void {
		const state = this._state;
		const hasLiveLeader = state.role === role.leader || state.now - state.leaderContactAt < electionTimeoutMinMs;
		if (hasLiveLeader && !request.isTransfer) {
			// The leader's lease relies on this refusal. A higher term in the request is ignored too.
			this._reply(false, respond);
			return;
		}

		const isUpToDate = this._isUpToDate(request);
		if (request.isPreVote) {
			const isPreVoteGranted = isUpToDate && request.term > state.term;
			if (isPreVoteGranted) {
				this._deferTo(request);
			}

			this._reply(isPreVoteGranted, respond, request.term);
			return;
		}

		if (request.term > state.term) {
			state.enterTerm(request.term);
		}

		const isVoteAvailable = state.vote === undefined || state.vote === request.from;
		const isGranted = request.term === state.term && isVoteAvailable && isUpToDate && state.role !== role.leader;
		if (isGranted) {
			state.setVote(request.from);
			state.resetElectionTimer();
		}

		this._reply(isGranted, respond);
	}

	receiveReply(request: VoteRequest, reply: VoteReply): void {
		const state = this._state;
		if (reply.term > state.term && !(request.isPreVote && reply.isGranted)) {
			state.enterTerm(reply.term);
			return;
		}

		const expectedTerm = this._isPreVote ? state.term + 1 : state.term;
		const isAwaited = state.role === role.candidate && request.isPreVote === this._isPreVote && request.term === expectedTerm;
		if (isAwaited && reply.isGranted) {
			this._granted.add(request.to);
			this._checkVotes();
		}
	}

	/** Counts this candidate's vote for itself once it is synced. */
	afterSync(): void {
		const state = this._state;
		if (state.role === role.candidate && !this._isPreVote && state.isTermSynced && state.vote === state.self && !this._granted.has(state.self)) {
			this._granted.add(state.self);
			this._checkVotes();
		}
	}

	/** Defers to another candidate. Otherwise members that start at the same time would all vote for themselves. */
	private _deferTo({from}: VoteRequest): void {
		const state = this._state;
		if (state.role === role.candidate) {
			// Of two simultaneous pre-vote candidates, the one with the higher identity defers.
			if (!this._isPreVote || from > state.self) {
				return;
			}

			state.becomeFollower(undefined);
		}

		state.deferElection();
	}

	private _startPreVote(): void {
		const state = this._state;
		state.role = role.candidate;
		state.leaderId = undefined;
		state.scheduleElectionRetry();
		this._isPreVote = true;
		this._granted = new Set([state.self]);
		for (const request of this._requests(state.term + 1)) {
			state.send(request);
		}

		this._checkVotes();
	}

	private _startVote(isTransfer: boolean): void {
		const state = this._state;
		state.enterTerm(state.term + 1, state.self);
		state.role = role.candidate;
		state.scheduleElectionRetry();
		this._isPreVote = false;
		this._isTransfer = isTransfer;
		this._granted = new Set();
		const {term} = state;
		state.defer(() => {
			if (state.role === role.candidate && state.term === term) {
				for (const request of this._requests(term)) {
					state.send(request);
				}
			}
		}, () => undefined);
	}

	private _checkVotes(): void {
		if (!this._state.isQuorum(voter => this._granted.has(voter.id))) {
			return;
		}

		if (this._isPreVote) {
			this._startVote(false);
		} else {
			this._onElected();
		}
	}

	private _requests(term: number) {
		const {self, log, now, voters} = this._state;
		return voters.filter(voter => voter.id !== self).map(to => ({
			kind: 'vote' as const,
			to,
			sentAt: now,
			request: {
				term, from: self, to: to.id, lastIndex: log.lastIndex, lastTerm: log.lastTerm, isPreVote: this._isPreVote, isTransfer: this._isTransfer && !this._isPreVote,
			},
		}));
	}

	private _isUpToDate({lastTerm, lastIndex}: VoteRequest): boolean {
		const {log} = this._state;
		return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
	}

	private _reply(isGranted: boolean, respond: (reply: VoteReply) => void, grantedTerm = this._state.term): void {
		const {term} = this._state;
		this._state.defer(() => {
			respond({term: isGranted ? grantedTerm : term, isGranted});
		}, () => {
			respond({term, isGranted: false});
		});
	}
}
