import {sleep} from '../common/base/sleep.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {checkRun, type Violation} from './check-run.js';
import {SimulatedCaller} from './simulated-caller.js';
import {modelDocument, plainDocument} from './simulation-documents.js';
import {SimulatedOperator} from './simulated-operator.js';
import {faults, runFaults} from './fault-schedule.js';
import {FaultSimulation} from './fault-simulation.js';
import {drawOperation} from './operation.js';

/** Result of one seed. */
export interface SeedResult {
	readonly seed: number;
	readonly violations: readonly Violation[];
	readonly operations: number;
	readonly answered: number;
	readonly tries: number;
	/** Longest time in milliseconds from the acceptance of a change until the operator saw it in force. */
	readonly inForceMs: number;
	readonly faults: readonly string[];
}

/** Number of operations in a run, and the mean time in milliseconds between two operations. */
const operations = 250;
const meanIntervalMs = 100;
/** Time in milliseconds after the last fault in which leases, fences and retries end. */
const settleMs = 40_000;

/** Runs the random fault schedule of one seed. `alterServices` plants a fault in the services of the request path. */
export async function runSeed(seed: number, alterServices?: (services: EntryServices) => EntryServices): Promise<SeedResult> {
	const simulation = new FaultSimulation(seed, {alterServices});
	try {
		await simulation.start();
		const operator = new SimulatedOperator(simulation.clock, simulation.random.fork('operator'), simulation.hosts, simulation.history);
		await simulation.settle(operator.submit(modelDocument(0)));
		await simulation.settle(operator.submit(plainDocument()));
		const caller = new SimulatedCaller({
			clock: simulation.clock, random: simulation.random.fork('caller'), hosts: simulation.hosts, backends: simulation.backends, history: simulation.history,
		});
		const endAt = simulation.clock.now() + (operations * meanIntervalMs);
		const work = [sendOperations(simulation, caller), runFaults(simulation, simulation.random.fork('faults'), endAt), submitChanges(simulation, operator)];
		await simulation.settle(Promise.all(work), 300_000);
		await simulation.clock.advance(settleMs);
		const {bills = []} = await simulation.queryLedger('bills');
		const {open = []} = await simulation.queryLedger('open');
		const violations = checkRun(simulation.history, {bills, open: open.map(({record}) => record.requestId)});
		return summarise(seed, simulation, violations);
	} finally {
		simulation.dispose();
	}
}

async function sendOperations(simulation: FaultSimulation, caller: SimulatedCaller): Promise<void> {
	const random = simulation.random.fork('operations');
	const running: Array<Promise<void>> = [];
	for (let index = 0; index < operations; index++) {
		running.push(caller.run(drawOperation(index, random)));
		// eslint-disable-next-line no-await-in-loop -- pause between operations
		await sleep(simulation.clock, -Math.log(1 - random.next()) * meanIntervalMs);
	}

	await Promise.all(running);
}

/** Submits two edits of the document and withdraws a version between them, in half of the runs while a host is isolated. */
async function submitChanges(simulation: FaultSimulation, operator: SimulatedOperator): Promise<void> {
	await sleep(simulation.clock, 3000 + simulation.random.integer(6000));
	await operator.submit(modelDocument(1));
	if (simulation.random.next() < 0.5) {
		simulation.history.faults.push(`${Math.round(simulation.clock.now())} ${await faults.isolate!(simulation, simulation.random)} before the withdrawal`);
	}

	await operator.withdraw('summaries', simulation.random.next() < 0.5 ? 'large@1' : 'mid@1');
	await operator.submit(modelDocument(2));
}

function summarise(seed: number, {history}: FaultSimulation, violations: readonly Violation[]): SeedResult {
	const answered = new Set(history.tries.filter(({outcome}) => outcome === 'answered').map(({operation}) => operation));
	const inForce = history.changes.flatMap(({acceptedAt, inForceAt}) => inForceAt === undefined ? [] : [inForceAt - acceptedAt]);
	return {
		seed, violations, operations, answered: answered.size, tries: history.tries.length, inForceMs: Math.max(0, ...inForce), faults: history.faults,
	};
}
