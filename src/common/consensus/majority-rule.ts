import {type Member} from './member.js';
import {type QuorumRule} from './quorum-rule.js';

/** A quorum is a majority of all voters. */
export class MajorityRule implements QuorumRule {
	isQuorum(voters: readonly Member[], predicate: (voter: Member) => boolean): boolean {
		return voters.length > 0 && voters.filter(voter => predicate(voter)).length * 2 > voters.length;
	}
}
