import {AppError} from '../common/base/app-error.js';
import {type ControlFollower} from '../common/control/control-follower.js';
import {overviewMethod} from '../common/control/control-methods.js';
import {type LedgerReader} from '../common/ledger/ledger-reader.js';
import {type SystemReport} from '../common/status/system-report.js';

/** Time limits for finding the leader and getting its reply. */
const readLimits = {attemptMs: 1000, deadlineMs: 5000};

/** Reads the state of the whole system. Omits the control or ledger part when its leader does not answer. */
export class SystemReader {
	constructor(private readonly _host: string, private readonly _follower: ControlFollower, private readonly _ledger: LedgerReader) {}

	async read(): Promise<SystemReport> {
		const {view, leaderClient, applied} = this._follower;
		const [control, unknown] = await Promise.all([
			orUndefined(leaderClient.request(overviewMethod, {}, readLimits)),
			orUndefined(this._ledger.query({what: 'unknown'})),
		]);
		return {
			host: this._host,
			revision: applied,
			control,
			entryHosts: [...view.entryHosts.values()],
			rollouts: [...view.rollouts].map(([service, state]) => ({...state, service})),
			quarantines: [...view.quarantines],
			unknown: unknown?.bills,
		};
	}
}

async function orUndefined<Value>(result: Promise<Value>): Promise<Value | undefined> {
	try {
		return await result;
	} catch (error) {
		if (error instanceof AppError) {
			return undefined;
		}

		throw error;
	}
}
