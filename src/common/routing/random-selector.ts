import {type Clock} from '../base/clock.js';
import {type RandomSource} from '../base/random-source.js';
import {type BackendServer} from '../control/backend-server.js';
import {SimpleSelector} from './simple-selector.js';

/** Baseline: a random server. */
export class RandomSelector extends SimpleSelector {
	constructor(clock: Clock, private readonly _random: RandomSource) {
		super(clock);
	}

	protected override choose(servers: readonly BackendServer[]): BackendServer {
		return servers[this._random.integer(servers.length)]!;
	}
}
