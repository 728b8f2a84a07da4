import {type Bill} from '../common/ledger/ledger.js';
import {answerToken, answerTokenCount} from './emulated-backends.js';
import {type CallerTry, type RunHistory} from './run-history.js';

/** Kinds of violations that a run is checked for. */
export const violationKinds = [
	'wrong-answer', 'unbilled', 'billed-twice', 'ran-twice', 'false-not-run', 'session-change', 'withdrawn-work', 'revert', 'unsettled',
] as const;
export type ViolationKind = typeof violationKinds[number];

/** A violated guarantee. */
export interface Violation {
	readonly kind: ViolationKind;
	readonly details: string;
}

/** State of the ledger at the end of a run. */
export interface FinalLedger {
	readonly bills: readonly Bill[];
	/** Ids of requests that are still open after the run has settled. */
	readonly open: readonly string[];
}

/** Checks the guarantees against what callers, operators and backend servers observed. */
export function checkRun(history: RunHistory, ledger: FinalLedger): Violation[] {
	return [
		...checkAnswers(history),
		...checkBills(history, ledger),
		...checkRuns(history),
		...checkRefusals(history),
		...checkSessions(history),
		...checkWithdrawals(history),
		...checkRevisions(history),
		...ledger.open.map(id => ({kind: 'unsettled' as const, details: id})),
	];
}

/** A complete answer consists of all tokens of its own request, in order and from one version. */
function checkAnswers({tries}: RunHistory): Violation[] {
	return tries.filter(({outcome, operation, ref, text}) => outcome === 'answered' && text !== expectedText(operation, ref)).map(callerTry => ({
		kind: 'wrong-answer', details: `${callerTry.operation} at ${callerTry.host}: ${callerTry.text}`,
	}));
}

function expectedText(operation: string, ref: string | undefined): string {
	return ref === undefined ? operation : Array.from({length: answerTokenCount}, (_, position) => answerToken(operation, ref, position)).join('');
}

/** Each complete answer has exactly one bill; no request has two bills. */
function checkBills({tries}: RunHistory, {bills}: FinalLedger): Violation[] {
	const counts = new Map<string, number>();
	const answered = new Set<string>();
	for (const {requestId, outcome} of bills) {
		counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
		if (outcome === 'answered') {
			answered.add(requestId);
		}
	}

	const billedTwice = [...counts].filter(([, count]) => count > 1).map(([id]) => ({kind: 'billed-twice' as const, details: id}));
	// A retry with an idempotency key is answered under the bill of the first try.
	const triesByOperation = new Map<string, CallerTry[]>();
	for (const callerTry of tries) {
		triesByOperation.set(callerTry.operation, [...triesByOperation.get(callerTry.operation) ?? [], callerTry]);
	}

	const unbilled = [...triesByOperation].filter(([, callerTries]) => callerTries.some(({outcome}) => outcome === 'answered') && !callerTries.some(({requestId}) => answered.has(requestId ?? '')));
	return [...billedTwice, ...unbilled.map(([operation]) => ({kind: 'unbilled' as const, details: operation}))];
}

/** An operation that is not idempotent runs at most once over all its tries. */
function checkRuns({tries, runs}: RunHistory): Violation[] {
	const nonIdempotent = new Set(tries.filter(({idempotent}) => !idempotent).map(({operation}) => operation));
	const counts = new Map<string, number>();
	for (const {operation} of runs) {
		counts.set(operation, (counts.get(operation) ?? 0) + 1);
	}

	return [...counts].filter(([operation, count]) => nonIdempotent.has(operation) && count > 1).map(([operation, count]) => ({kind: 'ran-twice', details: `${operation} ran ${count} times`}));
}

/** A request that was refused as not run did not run. */
function checkRefusals({tries, runs}: RunHistory): Violation[] {
	const ranIds = new Set(runs.map(({requestId}) => requestId));
	return tries.filter(({ran, requestId}) => ran === 'no' && ranIds.has(requestId ?? '')).map(({operation, requestId, outcome}) => ({
		kind: 'false-not-run', details: `${operation} ${requestId} ${outcome}`,
	}));
}

/** The version of a session changes only after it was withdrawn. */
function checkSessions({tries, changes}: RunHistory): Violation[] {
	const violations: Violation[] = [];
	const withdrawn = new Map(changes.filter(({kind}) => kind === 'withdraw').map(({ref, acceptedAt}) => [ref, acceptedAt]));
	const sessions = new Map<string, CallerTry[]>();
	for (const callerTry of tries) {
		if (callerTry.session !== undefined && callerTry.outcome === 'answered') {
			sessions.set(callerTry.session, [...sessions.get(callerTry.session) ?? [], callerTry]);
		}
	}

	for (const [session, callerTries] of sessions) {
		const refs = new Set(callerTries.map(({ref}) => ref));
		const unexplained = [...refs].filter(ref => !withdrawn.has(ref));
		// All but one of the versions of a session must have been withdrawn.
		if (unexplained.length > 1 || refs.size > withdrawn.size + 1) {
			violations.push({kind: 'session-change', details: `${session}: ${[...refs].join(', ')}`});
		}
	}

	return violations;
}

/** A withdrawn version gets no new work after the withdrawal is in force. */
function checkWithdrawals({changes, runs}: RunHistory): Violation[] {
	return changes.filter(({kind, inForceAt}) => kind === 'withdraw' && inForceAt !== undefined).flatMap(({ref, inForceAt}) => runs
		.filter(run => run.ref === ref && run.at > inForceAt!)
		.map(run => ({kind: 'withdrawn-work' as const, details: `${run.operation} on ${ref} at ${Math.round(run.at)}, in force at ${Math.round(inForceAt!)}`})));
}

/** The revisions of a process never decrease. */
function checkRevisions({revisions}: RunHistory): Violation[] {
	return [...revisions].filter(([, list]) => list.some((revision, index) => index > 0 && revision < list[index - 1]!)).map(([process]) => ({kind: 'revert', details: process}));
}
