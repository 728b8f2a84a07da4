import {type RequestLedger} from '../ledger/request-ledger.js';
import {type SessionPins} from '../ledger/session-pins.js';

/** Ledger clients of the current incarnation of this entry host; replaced when the incarnation changes. */
export interface LedgerAccess {
	readonly requests: RequestLedger;
	readonly pins: SessionPins;
}
