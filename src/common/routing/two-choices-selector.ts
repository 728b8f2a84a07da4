import {type Clock} from '../base/clock.js';
import {type RandomSource} from '../base/random-source.js';
import {type BackendServer} from '../control/backend-server.js';
import {expectedRequests} from './first-token-estimate.js';
import {SimpleSelector} from './simple-selector.js';

/** Baseline: power of two choices, by the expected number of requests. */
export class TwoChoicesSelector extends SimpleSelector {
	constructor(clock: Clock, private readonly _random: RandomSource) {
		super(clock);
	}

	protected override choose(servers: readonly BackendServer[]): BackendServer {
		const first = this._random.integer(servers.length);
		const second = (first + 1 + this._random.integer(servers.length - 1)) % servers.length;
		const [a, b] = [servers[first]!, servers[second]!];
		return expectedRequests(this.stateOf(a)) <= expectedRequests(this.stateOf(b)) ? a : b;
	}
}
