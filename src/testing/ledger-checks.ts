import {type LedgerState} from '../common/ledger/ledger-state.js';
import {type TestLedgerGroup} from './test-ledger-group.js';
import {type LedgerSimulation} from './ledger-simulation.js';

/** Checks the guarantees of the ledger after a schedule has settled. @returns the violations. */
export function ledgerViolations(simulation: LedgerSimulation): string[] {
	return [...billViolations(simulation), ...runViolations(simulation), ...sessionViolations(simulation), ...stateViolations(simulation)];
}

/** Each completely answered request has exactly one bill, with the outcome `answered`; no request has two bills. */
function billViolations({history, group}: LedgerSimulation): string[] {
	const counts = new Map<string, number>();
	for (const {requestId} of group.observer.bills) {
		counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
	}

	const billed = new Set(group.observer.bills.filter(bill => bill.outcome === 'answered').map(bill => bill.requestId));
	return [
		...[...counts].filter(([, count]) => count > 1).map(([id, count]) => `request ${id} has ${count} bills`),
		...history.answered.filter(id => !billed.has(id)).map(id => `request ${id} was answered without a bill`),
	];
}

/** A non-idempotent request runs at most once; requests with the same key count as one request. */
function runViolations({history}: LedgerSimulation): string[] {
	const counts = new Map<string, number>();
	for (const {requestId, request} of history.runs) {
		if (!request.idempotent) {
			const id = request.key === undefined ? requestId : `${request.customer}/${request.key}`;
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}
	}

	return [...counts].filter(([, count]) => count > 1).map(([id, count]) => `non-idempotent request ${id} ran ${count} times`);
}

/** The version of a session changes only after it was withdrawn, and hosts use only pinned versions. */
function sessionViolations({history, group}: LedgerSimulation): string[] {
	const violations: string[] = [];
	const {pins} = group.observer;
	const current = new Map<string, string>();
	for (const {session, ref, logged} of pins) {
		const before = current.get(session);
		const withdrawn = before === undefined ? 0 : history.withdrawals.get(before);
		if (withdrawn === undefined || withdrawn > logged) {
			violations.push(`session ${session} left ${before} without cause`);
		}

		current.set(session, ref);
	}

	for (const change of anyState(group).pins.changes) {
		if (!change.cause) {
			violations.push(`session ${change.session} changed without a recorded cause`);
		}
	}

	for (const use of history.uses) {
		const session = use.session.split('/')[1]!;
		if (!pins.some(pin => pin.session === session && pin.ref === use.ref && pin.logged <= use.logged)) {
			violations.push(`session ${session} used ${use.ref}, which was not pinned`);
		}
	}

	return violations;
}

/** No request stays open after all processes were replaced, and all voters have the same state. */
function stateViolations({group}: LedgerSimulation): string[] {
	const open = [...anyState(group).open.keys()].map(id => `request ${id} stayed open`);
	const snapshots = new Set([...group.states.values()].map(state => JSON.stringify(sortKeys(state.snapshot()))));
	return [...open, ...group.observer.disagreements, ...(snapshots.size === 1 ? [] : ['the voters differ'])];
}

function anyState({states}: TestLedgerGroup): LedgerState {
	return [...states.values()][0]!;
}

/** Sorts the keys of objects, because their order may differ after a snapshot is restored. */
function sortKeys(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => sortKeys(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).filter(([, item]) => item !== undefined).sort(([a], [b]) => a < b ? -1 : 1).map(([key, item]) => [key, sortKeys(item)]));
}
