import {type Member} from './member.js';

/** Decides which sets of voters form a quorum for elections and commits. Any two quorums must intersect. */
export interface QuorumRule {
	/** Whether the voters that satisfy the predicate form a quorum. */
	isQuorum(voters: readonly Member[], predicate: (voter: Member) => boolean): boolean;
}

/** Largest value that a quorum of the voters has reached; -Infinity without a quorum. */
export function quorumValue(rule: QuorumRule, voters: readonly Member[], valueOf: (voter: Member) => number): number {
	const values = voters.map(voter => valueOf(voter)).sort((a, b) => b - a);
	return values.find(value => rule.isQuorum(voters, voter => valueOf(voter) >= value)) ?? -Infinity;
}
