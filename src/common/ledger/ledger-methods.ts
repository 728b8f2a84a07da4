import {peerMethod, type PeerMethod} from '../base/peer-method.js';
import {type Bill} from './ledger.js';
import {type EncodedBatch} from './ledger-command.js';
import {type OpenRequest} from './ledger-state.js';
import {type LedgerReply} from './ledger-reply.js';
import {type Pin, type PinChange} from './pin-table.js';
import {type TotalsRow} from './totals-table.js';
import {type SessionKey} from './ledger-record.js';

/** Query of the command line. `limit` is the maximum number of rows; `customer` restricts the rows to one customer. */
export type LedgerQuery =
	| {readonly what: 'bills' | 'open' | 'unknown' | 'totals' | 'changes'; readonly customer?: string; readonly limit?: number}
	| {readonly what: 'pin'; readonly session: SessionKey}
	| {readonly what: 'sizes'};

/** Result of a query; only the requested part is present. The newest rows come last. */
export interface LedgerQueryResult {
	readonly bills?: readonly Bill[];
	readonly open?: readonly OpenRequest[];
	readonly totals?: readonly TotalsRow[];
	readonly changes?: readonly PinChange[];
	readonly pin?: Pin;
	readonly sizes?: {readonly open: number; readonly keys: number; readonly pins: number; readonly totals: number};
}

/** Parameters of a wait for the close of the request that owns an idempotency key. */
export interface LedgerWait {
	readonly customer: string;
	readonly key: string;
	readonly requestId: string;
	readonly timeoutMs: number;
}

/** `running`: not closed within the timeout. `released`: the key is free again or belongs to another request. */
export type LedgerWaitResult = {readonly status: 'running' | 'released'} | {readonly status: 'closed'; readonly bill: Bill};

/** Peer methods of one ledger group. */
export interface LedgerMethods {
	readonly append: PeerMethod<EncodedBatch, LedgerReply>;
	readonly query: PeerMethod<LedgerQuery, LedgerQueryResult>;
	readonly wait: PeerMethod<LedgerWait, LedgerWaitResult>;
}

/** Peer methods of a group. Group 0 has the names without suffix. */
export function ledgerMethods(group: number): LedgerMethods {
	const suffix = group === 0 ? '' : `.${group}`;
	return {
		append: peerMethod(`ledger.append${suffix}`),
		query: peerMethod(`ledger.query${suffix}`),
		wait: peerMethod(`ledger.wait${suffix}`),
	};
}
