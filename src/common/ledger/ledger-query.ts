import {type LedgerQuery, type LedgerQueryResult} from './ledger-methods.js';
import {type LedgerState} from './ledger-state.js';

/** Maximum number of rows in one result. */
const maxRows = 1000;

/** Answers a query from the state of a leader. */
export function answerQuery(state: LedgerState, query: LedgerQuery): LedgerQueryResult {
	switch (query.what) {
		case 'bills': {
			return {bills: select(state.bills, row => row.customer, query)};
		}

		case 'unknown': {
			return {bills: select(state.unknown, row => row.customer, query)};
		}

		case 'open': {
			return {open: select(state.open.values(), row => row.record.customer, query)};
		}

		case 'totals': {
			return {totals: select(state.totals.rows(), row => row.customer, query).map(row => ({...row}))};
		}

		case 'changes': {
			return {changes: select(state.pins.changes, row => row.customer, query)};
		}

		case 'pin': {
			const pin = state.pins.get(query.session);
			return {pin: pin && {...pin}};
		}

		case 'sizes': {
			return {
				sizes: {
					open: state.open.size, keys: state.keys.size, pins: state.pins.size, totals: state.totals.size,
				},
			};
		}
	}
}

/** The last rows of the customer, oldest first. */
function select<Row>(rows: Iterable<Row>, customerOf: (row: Row) => string, {customer, limit = maxRows}: {customer?: string; limit?: number}): Row[] {
	const found = [...rows].filter(row => customer === undefined || customerOf(row) === customer);
	// The limit comes from a peer and is not validated: it may be NaN or out of range.
	return found.slice(-(limit >= 1 && limit < maxRows ? Math.floor(limit) : maxRows));
}
