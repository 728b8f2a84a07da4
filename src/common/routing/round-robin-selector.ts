import {type BackendServer} from '../control/backend-server.js';
import {SimpleSelector} from './simple-selector.js';

/** Baseline: round robin. */
export class RoundRobinSelector extends SimpleSelector {
	private _next = 0;

	protected override choose(servers: readonly BackendServer[]): BackendServer {
		return servers[this._next++ % servers.length]!;
	}
}
