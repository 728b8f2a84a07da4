import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type ControlFollower} from '../control/control-follower.js';
import {type LedgerAccess} from '../entry/ledger-access.js';
import {LedgerClient} from '../ledger/ledger-client.js';
import {RequestLedger} from '../ledger/request-ledger.js';
import {RequestIds} from '../ledger/request-ids.js';
import {SessionPins} from '../ledger/session-pins.js';
import {type HostServices} from './host-services.js';

/** Access to the ledger for the current incarnation of the entry host. Each incarnation has its own client. */
export class LedgerBinding implements LedgerAccess, Disposable {
	private readonly _store = new DisposableStore();
	private _current: BoundLedger;

	constructor(private readonly _services: HostServices, follower: ControlFollower) {
		this._current = this._bind(follower.incarnation);
		this._store.add(follower.onIncarnationChange(incarnation => {
			// Requests of the previous incarnation keep its client, which is fenced.
			this._current = this._bind(incarnation);
		}));
	}

	get requests(): RequestLedger {
		return this._current.requests;
	}

	/** Returns the ID of the next request, unique in the system. */
	next(): string {
		return this._current.ids.next();
	}

	get pins(): SessionPins {
		return this._current.pins;
	}

	dispose(): void {
		this._store.dispose();
	}

	private _bind(incarnation: number): BoundLedger {
		const {cfg, clock} = this._services;
		const client = this._store.add(new LedgerClient({...this._services, voters: () => [...cfg.voters.keys()]}, {entry: cfg.host, incarnation, lingerMs: cfg.ledgerLingerMs}));
		const pins = new SessionPins(client, clock);
		const requests = new RequestLedger(client, clock);
		this._store.add(requests.onPinReplaced(({session, ref}) => {
			pins.applyReplacement(session, ref);
		}));
		return {requests, pins, ids: new RequestIds(cfg.host, incarnation)};
	}
}

type BoundLedger = {readonly requests: RequestLedger; readonly pins: SessionPins; readonly ids: RequestIds};
