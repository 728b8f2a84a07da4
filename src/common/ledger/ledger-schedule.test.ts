import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ledgerViolations} from '../../testing/ledger-checks.js';
import {LedgerCluster} from '../../testing/ledger-cluster.js';
import {LedgerFixture} from '../../testing/ledger-fixture.js';
import {type CallerRequest, LedgerSimulation} from '../../testing/ledger-simulation.js';
import {type KnownIncarnation} from './incarnation-table.js';
import {type EntryLedger} from './entry-ledger.js';
import {type LedgerState} from './ledger-state.js';

type Action =
	| {type: 'send'; host: string; request: CallerRequest}
	| {type: 'crash' | 'expire' | 'restart'; host: string}
	| {type: 'cut'; from: string; to: string}
	| {type: 'heal'}
	| {type: 'withdraw'; ref: string};
/** Faults of the voters; each of the two kinds of logs has its own. */
type DelayedAction = {type: 'elect'; leader: string | undefined; kept: number} | {type: 'restore'; voter: string; source: string};
type ClusterAction = {type: 'kill'; voter: string} | {type: 'start'; voter: string};

const entryHost = fc.constantFrom('e1', 'e2', 'e3');
const voter = fc.constantFrom('v1', 'v2', 'v3');
const request: fc.Arbitrary<CallerRequest> = fc.record({
	customer: fc.constantFrom('pulso', 'coralvent'),
	idempotent: fc.boolean(),
	key: fc.option(fc.constantFrom('k1', 'k2'), {nil: undefined}),
	body: fc.constantFrom('a', 'a', 'a', 'b'),
	session: fc.option(fc.constantFrom('s1', 's2'), {nil: undefined}),
	workMs: fc.integer({min: 1, max: 80}),
	backendOutcome: fc.constantFrom('answered', 'answered', 'answered', 'refused', 'lost'),
}).map(fields => ({...fields, key: fields.key && `${fields.idempotent ? 'i' : 'n'}${fields.key}`, session: fields.session && `${fields.customer}-${fields.session}`}));
const action: fc.Arbitrary<Action> = fc.oneof(
	{weight: 12, arbitrary: fc.record({type: fc.constant('send' as const), host: entryHost, request})},
	{weight: 3, arbitrary: fc.record({type: fc.constantFrom('crash' as const, 'expire' as const, 'restart' as const), host: entryHost})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('cut' as const), from: fc.oneof(entryHost, voter), to: fc.oneof(entryHost, voter)})},
	{weight: 2, arbitrary: fc.constant({type: 'heal' as const})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('withdraw' as const), ref: fc.constantFrom('v1', 'v2', 'v3')})},
);
// Long pauses make deadlines pass while there is no leader.
const pause = fc.oneof({weight: 12, arbitrary: fc.integer({min: 0, max: 60})}, {weight: 1, arbitrary: fc.integer({min: 1000, max: 7000})});
const delayedAction: fc.Arbitrary<DelayedAction> = fc.oneof(
	{weight: 2, arbitrary: fc.record({type: fc.constant('elect' as const), leader: fc.option(voter, {nil: undefined}), kept: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restore' as const), voter: fc.constantFrom('v2', 'v3'), source: fc.constant('v1')})},
);
const clusterAction: fc.Arbitrary<ClusterAction> = fc.oneof(
	{weight: 1, arbitrary: fc.record({type: fc.constant('kill' as const), voter})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('start' as const), voter})},
);

function scheduleWith<Extra>(extra: fc.Arbitrary<Extra>) {
	return fc.array(fc.tuple(fc.oneof({weight: 22, arbitrary: action}, {weight: 3, arbitrary: extra}), pause), {minLength: 10, maxLength: 50});
}

const seeds = fc.integer({min: 1, max: 1_000_000});

function performAction(simulation: LedgerSimulation, step: Action): void {
	switch (step.type) {
		case 'send': {
			simulation.send(step.host, step.request);
			break;
		}

		case 'cut': {
			simulation.group.network.cut(step.from, step.to);
			break;
		}

		case 'heal': {
			simulation.group.network.heal();
			break;
		}

		case 'withdraw': {
			simulation.withdraw(step.ref);
			break;
		}

		case 'crash': {
			simulation.crash(step.host);
			break;
		}

		case 'expire': {
			simulation.expire(step.host);
			break;
		}

		case 'restart': {
			simulation.start(step.host);
			break;
		}
	}
}

const runs = 150;
const clusterRuns = 60;
/** Completed answers of all schedules, to show that the schedules are not empty. */
let answered = 0;

type InjectFault = (states: Iterable<LedgerState>, fixture: LedgerFixture) => void;
type InjectEntryFault = ConstructorParameters<typeof LedgerSimulation>[2];

/** Adds the violations of the settled simulation. @returns whether there are none so far. */
async function settleAndCheck(simulation: LedgerSimulation, violations: string[]): Promise<boolean> {
	await simulation.recover();
	answered += simulation.history.answered.length;
	violations.push(...ledgerViolations(simulation));
	return violations.length === 0;
}

function guarantees(violations: string[], injectFault: InjectFault = () => undefined, injectEntryFault?: InjectEntryFault) {
	return fc.asyncProperty(scheduleWith(delayedAction), seeds, async (steps, seed) => {
		const fixture = new LedgerFixture(seed);
		const simulation = new LedgerSimulation(fixture, seed, injectEntryFault);
		injectFault(fixture.states.values(), fixture);
		for (const [step, pauseMs] of steps) {
			if (step.type === 'elect') {
				fixture.log.elect(step.leader, step.kept);
			} else if (step.type === 'restore') {
				fixture.log.restore(step.voter, step.source);
			} else {
				performAction(simulation, step);
			}

			// eslint-disable-next-line no-await-in-loop -- steps in sequence
			await fixture.clock.advance(pauseMs);
		}

		return settleAndCheck(simulation, violations);
	});
}

function guaranteesOverReplicatedLog(violations: string[], injectFault?: ConstructorParameters<typeof LedgerCluster>[1]) {
	return fc.asyncProperty(scheduleWith(clusterAction), seeds, async (steps, seed) => {
		const cluster = new LedgerCluster(seed, injectFault);
		await cluster.recover();
		const simulation = new LedgerSimulation(cluster, seed);
		for (const [step, pauseMs] of steps) {
			if (step.type === 'kill') {
				cluster.kill(step.voter);
			} else if (step.type === 'start') {
				void cluster.start(step.voter);
			} else {
				performAction(simulation, step);
			}

			// eslint-disable-next-line no-await-in-loop -- steps in sequence
			await cluster.clock.advance(pauseMs);
		}

		const isValid = await settleAndCheck(simulation, violations);
		cluster.dispose();
		return isValid;
	});
}

/** Overrides methods of the ledger client of each entry host. */
function overrideLedger(createOverrides: (ledger: EntryLedger) => Partial<EntryLedger>): InjectEntryFault {
	return entry => {
		Object.assign(entry.client, createOverrides(entry.client));
	};
}

describe('ledger under random schedules', () => {
	// Checks all guarantees of the ledger (sections 7 and 8) under combinations of crashes, lost messages and leader changes.
	it('keeps its guarantees', async () => {
		answered = 0;
		const violations: string[] = [];
		const details = await fc.check(guarantees(violations), {seed: 20_261, numRuns: runs, endOnFailure: true});
		expect(violations, fc.defaultReportMessage(details)).toEqual([]);
		expect(details.numRuns).toBe(runs);
		expect(answered).toBeGreaterThan(300);
	});

	// Checks the same guarantees over the replicated log, with power losses, elections and snapshots at the voters.
	it('keeps its guarantees over the replicated log', async () => {
		answered = 0;
		const violations: string[] = [];
		const details = await fc.check(guaranteesOverReplicatedLog(violations), {seed: 20_263, numRuns: clusterRuns, endOnFailure: true});
		expect(violations, fc.defaultReportMessage(details)).toEqual([]);
		expect(details.numRuns, fc.defaultReportMessage(details)).toBe(clusterRuns);
		expect(answered).toBeGreaterThan(2 * clusterRuns);
	});

	// Shows that the checks over the replicated log detect faults of voters.
	it.each<[string, ConstructorParameters<typeof LedgerCluster>[1]]>([
		['a snapshot without the sequences', ({incarnations}) => {
			incarnations.restore = () => undefined;
		}],
		['a snapshot without the pins', ({pins}) => {
			pins.restore = () => undefined;
		}],
	])('detects the injected fault of a voter: %s', async (_, injectFault) => {
		const violations: string[] = [];
		await fc.check(guaranteesOverReplicatedLog(violations, injectFault), {seed: 20_264, numRuns: clusterRuns, endOnFailure: true});
		expect(violations.join('\n')).toMatch(/the voters differ/v);
	});

	// Shows that the checks detect each kind of fault. Otherwise the first test could pass with a broken ledger.
	it.each<[string, RegExp, InjectFault | undefined, InjectEntryFault | undefined]>([
		['no sequence check', /stayed open|bills/v, states => {
			for (const {incarnations} of states) {
				const known: KnownIncarnation = {
					entry: 'any', incarnation: 1, sequence: 0, results: [], fenced: false,
				};
				incarnations.checkBatch = () => ({kind: 'apply', known, supersedes: false});
			}
		}, undefined],
		['fences close no requests', /stayed open/v, states => {
			for (const {incarnations} of states) {
				incarnations.fence = () => false;
			}
		}, undefined],
		['the key of an unknown outcome is freed', /ran \d times/v, states => {
			for (const {keys} of states) {
				keys.recordBill = (bill, key) => {
					keys.release(bill.customer, key, bill.requestId);
				};
			}
		}, undefined],
		['the last writer of a pin wins', /without cause/v, states => {
			for (const {pins} of states) {
				const set = pins.set.bind(pins);
				pins.set = (record, at) => set({...record, replaces: pins.get(record)?.ref}, at);
			}
		}, undefined],
		['a request stays open after its close', /has \d+ bills/v, states => {
			for (const {open} of states) {
				Object.assign(open, {delete: () => false});
			}
		}, undefined],
		['one voter ignores fences', /voters differ/v, (_, fixture) => {
			fixture.states.get('v3')!.incarnations.fence = () => false;
		}, undefined],
		['an entry host uses the version it chose instead of the pinned one', /was not pinned/v, undefined, entry => {
			const resolve = entry.pins.resolve.bind(entry.pins);
			entry.pins.resolve = async (session, choice) => {
				await resolve(session, choice);
				return choice.choose();
			};
		}],
		['a request is dispatched before its open is durable', /ran \d times/v, undefined, overrideLedger(ledger => {
			const open = ledger.open.bind(ledger);
			return {
				async open(record, options) {
					void Promise.allSettled([open(record, options)]);
					return {status: 'opened'};
				},
			};
		})],
		['an answer is completed before its close is durable', /without a bill/v, undefined, overrideLedger(ledger => {
			const close = ledger.close.bind(ledger);
			return {
				async close(record, options) {
					void Promise.allSettled([close(record, options)]);
					return {status: 'closed'};
				},
			};
		})],
		['a lost attempt is repeated', /ran \d times/v, undefined, entry => {
			const begin = entry.requests.begin.bind(entry.requests);
			entry.requests.begin = async record => {
				const result = await begin(record);
				if (result.status === 'run') {
					result.request.startAttempt = () => ({markNotWritten: () => undefined});
				}

				return result;
			};
		}],
	])('detects the injected fault: %s', async (_, expected, injectFault, injectEntryFault) => {
		const violations: string[] = [];
		await fc.check(guarantees(violations, injectFault, injectEntryFault), {seed: 20_262, numRuns: runs, endOnFailure: true});
		expect(violations.join('\n')).toMatch(expected);
	});
});
