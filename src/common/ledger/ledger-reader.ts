import {ControlUnavailableError} from '../control/control-errors.js';
import {LeaderCaller, type LeaderCallerServices} from './leader-caller.js';
import {ledgerMethods, type LedgerQuery, type LedgerQueryResult} from './ledger-methods.js';

/** Timeout of a query in milliseconds, including the search for the leader. */
const queryTimeoutMs = 5000;

/** Queries the ledger for operators. */
export class LedgerReader {
	private readonly _caller: LeaderCaller;

	constructor(private readonly _services: LeaderCallerServices) {
		this._caller = new LeaderCaller(_services);
	}

	/**
	Queries the leader of the first ledger group.

	@throws ControlUnavailableError when no leader answers within 5 s.
	*/
	async query(query: LedgerQuery): Promise<LedgerQueryResult> {
		const controller = new AbortController();
		const timer = this._services.clock.setTimer(queryTimeoutMs, () => {
			controller.abort();
		});
		const result = await this._caller.call(ledgerMethods(0).query, query, controller.signal);
		timer.dispose();
		if (!result) {
			throw new ControlUnavailableError('no leader of the ledger answers');
		}

		return result;
	}
}
