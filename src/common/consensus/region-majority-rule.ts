import {MajorityRule} from './majority-rule.js';
import {type Member} from './member.js';
import {type QuorumRule} from './quorum-rule.js';

/** A quorum is a majority of the voters of each region that has voters. */
export class RegionMajorityRule implements QuorumRule {
	private readonly _majority = new MajorityRule();

	isQuorum(voters: readonly Member[], predicate: (voter: Member) => boolean): boolean {
		const regions = [...new Set(voters.map(voter => voter.region))];
		return regions.length > 0 && regions.every(region => this._majority.isQuorum(voters.filter(voter => voter.region === region), predicate));
	}
}
