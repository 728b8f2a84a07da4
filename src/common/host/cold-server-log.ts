import {type Logger} from '../base/logger.js';
import {type BackendServer} from '../control/backend-server.js';

/** Maximum number of ids of each kind in a line; an evacuation that ends marks all servers of a zone. */
const maxIds = 20;

/** Logs which backend servers turn cold or warm in the view of this host, in one line for each change. */
export class ColdServerLog {
	/** Revisions since which servers are cold, by id. */
	private _cold: ReadonlyMap<string, number> = new Map();

	constructor(private readonly _logger: Logger) {}

	update(servers: Iterable<BackendServer>, revision: number): void {
		const cold = new Map<string, number>();
		for (const {id, coldSince} of servers) {
			if (coldSince !== undefined) {
				cold.set(id, coldSince);
			}
		}

		const turnedCold = [...cold].filter(([id, since]) => this._cold.get(id) !== since).map(([id]) => id);
		const noLongerCold = [...this._cold.keys()].filter(id => !cold.has(id));
		this._cold = cold;
		if (turnedCold.length > 0 || noLongerCold.length > 0) {
			this._logger.info({
				turnedCold: turnedCold.slice(0, maxIds),
				turnedColdCount: turnedCold.length,
				noLongerCold: noLongerCold.slice(0, maxIds),
				noLongerColdCount: noLongerCold.length,
				cold: cold.size,
				revision,
			}, 'cold backend servers changed');
		}
	}
}
