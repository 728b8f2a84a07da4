import {type IncomingMessage} from 'node:http';
import {type ControlFollower} from '../common/control/control-follower.js';
import {inForceMethod} from '../common/control/control-methods.js';
import {burnMethod} from '../common/burn/burn-methods.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {type LedgerQuery} from '../common/ledger/ledger-methods.js';
import {type LedgerReader} from '../common/ledger/ledger-reader.js';
import {type StatusReport} from '../common/status/status-report.js';
import {type ExplainReader} from './explain-reader.js';
import {OperatorChanges} from './operator-changes.js';
import {type OperatorReply} from './operator-errors.js';
import {type SystemReader} from './system-reader.js';

/** Dependencies of `OperatorApi`. */
export interface OperatorApiOptions {
	readonly follower: ControlFollower;
	readonly ledger: LedgerReader;
	readonly status: () => StatusReport;
	readonly system: SystemReader;
	readonly explain: ExplainReader;
	/** Starts a graceful shutdown of this daemon. */
	readonly drain: () => void;
}

/** Deadline in milliseconds for finding the leader and getting its reply. */
const readDeadlineMs = 5000;
const ledgerLists = new Set(['bills', 'open', 'unknown', 'totals', 'changes']);

/** HTTP interface for operators: reads the state of the system and changes the configuration. */
export class OperatorApi {
	private readonly _changes: OperatorChanges;

	constructor(private readonly _options: OperatorApiOptions) {
		this._changes = new OperatorChanges(_options.follower);
	}

	/** Handles a request to `/operator/v1/<path>`. */
	async handle(req: IncomingMessage, path: string, query: URLSearchParams): Promise<OperatorReply> {
		const [section = '', ...rest] = path.split('/');
		const name = rest.map(part => decodeURIComponent(part)).join('/');
		switch (`${req.method} ${section}`) {
			case 'POST documents': {
				return this._changes.submit(req, query);
			}

			case 'DELETE documents': {
				return this._changes.remove(name, query);
			}

			case 'POST withdrawals': {
				return this._changes.withdraw(req, query);
			}

			case 'POST lifts': {
				return this._changes.lift(req);
			}

			case 'POST evacuations': {
				return this._changes.evacuate(req);
			}

			case 'DELETE evacuations': {
				return this._changes.endEvacuation(req, name);
			}

			case 'POST drain': {
				this._options.drain();
				return {status: 202, body: {status: 'draining'}};
			}

			default: {
				if (req.method !== 'GET') {
					throw new RefusalError('not-found', `There is no ${req.method} ${path}.`, {status: 404});
				}

				return {status: 200, body: await this._read(section, name, query)};
			}
		}
	}

	private async _read(section: string, name: string, query: URLSearchParams): Promise<unknown> {
		const {follower, status} = this._options;
		const {view} = follower;
		switch (section) {
			case 'documents': {
				return name === '' ? [...view.documents.values()] : requireFound(view.documents.get(name), `There is no service ${name}.`);
			}

			case 'entries': {
				return [...view.entryHosts.values()];
			}

			case 'backends': {
				return [...view.backendServers.values()];
			}

			case 'status': {
				return status();
			}

			case 'system': {
				return this._options.system.read();
			}

			case 'rollouts': {
				return [...view.rollouts].map(([service, state]) => ({...state, service}));
			}

			case 'quarantines': {
				return [...view.quarantines];
			}

			case 'evacuations': {
				return [...view.evacuations.values()];
			}

			case 'explain': {
				return this._options.explain.read(name);
			}

			case 'burn': {
				return follower.leaderClient.request(burnMethod, {}, {attemptMs: 2000, deadlineMs: readDeadlineMs});
			}

			case 'in-force': {
				return follower.leaderClient.request(inForceMethod, {revision: Number(query.get('revision'))}, {attemptMs: 1000, deadlineMs: readDeadlineMs});
			}

			case 'session': {
				const [customer = '', service = '', session = ''] = ['customer', 'service', 'session'].map(key => query.get(key) ?? '');
				const {pin} = await this._options.ledger.query({what: 'pin', session: {customer, service, session}});
				return requireFound(pin, `The session ${session} has no version.`);
			}

			default: {
				return this._readLedger(section, query);
			}
		}
	}

	private async _readLedger(section: string, query: URLSearchParams): Promise<unknown> {
		if (!ledgerLists.has(section)) {
			throw new RefusalError('not-found', `There is no ${section}.`, {status: 404});
		}

		const what = section as Exclude<LedgerQuery['what'], 'pin' | 'sizes'>;
		const limit = query.get('limit');
		const customer = query.get('customer') ?? undefined;
		const result = await this._options.ledger.query({what, customer, limit: limit === null ? undefined : Number(limit)});
		return result[what === 'unknown' ? 'bills' : what];
	}
}

function requireFound<Value>(value: Value | undefined, message: string): Value {
	if (value === undefined) {
		throw new RefusalError('not-found', message, {status: 404});
	}

	return value;
}
