import {AppError} from '../base/app-error.js';

/** This member is not the leader; the command was not appended. */
export class NotLeaderError extends AppError {
	readonly code = 'not-leader' as const;
	readonly data: {leader: string | undefined};

	constructor(leader: string | undefined) {
		super(leader ? `not the leader; the leader is ${leader}` : 'not the leader; no leader is known');
		this.data = {leader};
	}
}

/** Leadership was lost before the outcome was known: the command may or may not be committed. */
export class ProposalUnknownError extends AppError {
	readonly code = 'proposal-unknown' as const;

	constructor() {
		super('the leader lost its role before the outcome was known');
	}
}

/** Too many proposals are pending; the command was not appended. */
export class LogBusyError extends AppError {
	readonly code = 'log-busy' as const;

	constructor() {
		super('too many proposals wait for a commit');
	}
}

/** A request was addressed to another identity or another group. */
export class WrongMemberError extends AppError {
	readonly code = 'wrong-member' as const;
}
