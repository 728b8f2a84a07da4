import {expect, it} from 'vitest';
import {MajorityRule} from './majority-rule.js';
import {quorumValue} from './quorum-rule.js';
import {RegionMajorityRule} from './region-majority-rule.js';

/** Voters such as `a1`, whose first letter is the region. */
function voters(...ids: string[]) {
	return ids.map(id => ({
		id, host: id, region: id[0]!, isVoter: true,
	}));
}

// Guards against a commit or an election with too few voters, or with the voters of only one region.
it.each([
	[new MajorityRule(), {a1: 5, a2: 3, a3: 1}, 3],
	[new MajorityRule(), {
		a1: 5, a2: 4, a3: 3, a4: 1,
	}, 3],
	[new MajorityRule(), {
		a1: 9, a2: 9, b1: 2, b2: 1, b3: 0,
	}, 2],
	[new MajorityRule(), {a1: 4}, 4],
	[new MajorityRule(), {}, -Infinity],
	[new RegionMajorityRule(), {
		a1: 9, a2: 9, b1: 2, b2: 1, b3: 0,
	}, 1],
	[new RegionMajorityRule(), {
		a1: 9, a2: 8, a3: 1, b1: 9, b2: 7, b3: 0,
	}, 7],
	[new RegionMajorityRule(), {}, -Infinity],
])('%o: the largest value that a quorum of %o has reached', (rule, values: Record<string, number>, expected) => {
	expect(quorumValue(rule, voters(...Object.keys(values)), voter => values[voter.id]!)).toBe(expected);
});
