import {type Clock} from '../../src/common/base/clock.js';
import {type RandomSource} from '../../src/common/base/random-source.js';
import {SeededRandom} from '../../src/common/base/seeded-random.js';
import {AdaptiveLimit} from '../../src/common/admission/adaptive-limit.js';
import {type AdmissionController, type AdmissionTicket} from '../../src/common/admission/admission-controller.js';
import {type ConcurrencyLimit} from '../../src/common/admission/concurrency-limit.js';
import {FairAdmission} from '../../src/common/admission/fair-admission.js';
import {FifoAdmission} from '../../src/common/admission/fifo-admission.js';
import {OverloadedError} from '../../src/common/admission/overloaded-error.js';
import {type Urgency} from '../../src/common/documents/urgency.js';
import {LoadAwareSelector} from '../../src/common/routing/load-aware-selector.js';
import {ClusterModel, zones, type EntryModel} from './cluster-model.js';
import {engineCapacity} from './selection-run.js';
import {Simulation} from './simulation.js';
import {quantile} from './statistics.js';
import {commonShape, Traffic, type TrafficRequest} from './traffic.js';

/** Customer with its weight and its share of the requests. */
export type Customer = {readonly name: string; readonly weight: number; readonly trafficShare: number};
/** Creates the admission controller of an entry host. */
export type AdmissionFactory = (clock: Clock, limit: ConcurrencyLimit) => AdmissionController;

/** Result of one run. */
export type AdmissionResult = {
	/** Tokens/s of requests that got their first token before the deadline. */
	readonly goodput: number;
	/** Tokens/s by customer: `offered` of all requests, `served` of those that got their first token before the deadline. */
	readonly offered: readonly number[];
	readonly served: readonly number[];
	/** P95 of the time to first token of admitted urgent requests, including the wait for admission. */
	readonly urgentP95: number;
	/** Share of urgent requests that were refused. */
	readonly urgentRefused: number;
	/** Refused requests whose admission deadline passed while they waited. */
	readonly expiredWaiting: number;
	/** All refused requests. */
	readonly refused: number;
};

const engineCount = 13;
const entryHosts = 9;
const warmUpMs = 30_000;
const runMs = 90_000;
/** Deadline of the first token, in milliseconds after the request. */
const deadlineMs: Readonly<Record<Urgency, number>> = {urgent: 1700, normal: 10_000, batch: 30_000};
/** Share of the deadline within which a request must be admitted; the rest is left for the first token. */
const admissionDeadlineShare = 0.7;

/** Factories of admission controllers by name. */
export const admissionFactories: Readonly<Record<string, AdmissionFactory>> = {
	fair: (clock, limit) => new FairAdmission(clock, limit),
	'first come first served': (clock, limit) => new FifoAdmission(clock, limit),
};

/** Customers whose traffic shares are proportional to their weights. */
export function evenCustomers(): Customer[] {
	const weights = [4, 3, 2, 1, 1, 1, 1, 1, 1, 1];
	return weights.map((weight, index) => ({name: `c${index}`, weight, trafficShare: weight / 16}));
}

/** Customers of which two send far more than their fair share at twice the capacity; the others send 0.9 of theirs. */
export function floodCustomers(): Customer[] {
	const even = evenCustomers();
	const otherLoad = 0.9 / 2;
	const rest = even.slice(2).reduce((sum, {trafficShare}) => sum + (otherLoad * trafficShare), 0);
	return even.map((customer, index) => ({...customer, trafficShare: index < 2 ? (1 - rest) / 2 : otherLoad * customer.trafficShare}));
}

type Totals = {goodput: number; offered: number[]; served: number[]; urgentMs: number[]; urgentRefused: number; expiredWaiting: number; refused: number};

/** Runs the simulation at a multiple of the capacity. */
export async function runAdmission(createAdmission: AdmissionFactory, customers: readonly Customer[], load: number, seed: number): Promise<AdmissionResult> {
	const simulation = new Simulation();
	const random = new SeededRandom(seed);
	const cluster = new ClusterModel(simulation, random.fork('cluster'), Array.from({length: engineCount}, () => 1));
	const entries = Array.from({length: entryHosts}, (_, index) => createEntry(simulation, random.fork(`entry ${index}`), cluster, {createAdmission, zone: zones[index % zones.length]!}));
	cluster.entries.push(...entries);
	const traffic = new Traffic(random.fork('traffic'), commonShape);
	const draws = random.fork('draws');
	const rate = load * engineCount * engineCapacity(commonShape);
	const totals: Totals = {
		goodput: 0, offered: customers.map(() => 0), served: customers.map(() => 0), urgentMs: [], urgentRefused: 0, expiredWaiting: 0, refused: 0,
	};
	const arrive = () => {
		void send(simulation, cluster, entries[draws.integer(entryHosts)]!, {
			req: traffic.next(), customers, index: drawCustomer(customers, draws.next()), totals,
		});
		simulation.setTimer(traffic.nextGapMs(rate), arrive);
	};

	arrive();
	// Traffic continues until each measured request has its first token or is refused.
	await simulation.runSettled(warmUpMs + runMs + deadlineMs.batch);
	const seconds = runMs / 1000;
	return {
		goodput: totals.goodput / seconds,
		offered: totals.offered.map(tokens => tokens / seconds),
		served: totals.served.map(tokens => tokens / seconds),
		urgentP95: quantile(totals.urgentMs, 0.95),
		urgentRefused: totals.urgentRefused / Math.max(1, totals.urgentRefused + totals.urgentMs.length),
		expiredWaiting: totals.expiredWaiting,
		refused: totals.refused,
	};
}

type Entry = EntryModel & {readonly admission: AdmissionController};

function createEntry(simulation: Simulation, random: RandomSource, cluster: ClusterModel, {createAdmission, zone}: {createAdmission: AdmissionFactory; zone: string}): Entry {
	const selector = new LoadAwareSelector(simulation, random, {zone});
	const limit = new AdaptiveLimit(cluster.capacity / entryHosts);
	selector.onQueueDelay(delayMs => {
		limit.observe(delayMs, simulation.now());
	});
	return {zone, selector, admission: createAdmission(simulation, limit)};
}

function drawCustomer(customers: readonly Customer[], value: number): number {
	let remaining = value;
	const index = customers.findIndex(({trafficShare}) => {
		remaining -= trafficShare;
		return remaining < 0;
	});
	return index === -1 ? customers.length - 1 : index;
}

type AdmissionCall = {readonly req: TrafficRequest; readonly customers: readonly Customer[]; readonly index: number; readonly totals: Totals};

async function send(simulation: Simulation, cluster: ClusterModel, entry: Entry, {req, customers, index, totals}: AdmissionCall): Promise<void> {
	const startedAt = simulation.now();
	const isMeasured = startedAt >= warmUpMs && startedAt < warmUpMs + runMs;
	const tokens = req.inputTokens + req.outputTokens;
	const {name, weight} = customers[index]!;
	const limitMs = deadlineMs[req.urgency];
	if (isMeasured) {
		totals.offered[index]! += tokens;
	}

	let ticket: AdmissionTicket;
	try {
		ticket = await entry.admission.acquire({
			customer: name, service: 's', urgency: req.urgency, weight, tokens, deadlineAt: startedAt + (admissionDeadlineShare * limitMs),
		});
	} catch (error) {
		if (isMeasured && error instanceof OverloadedError) {
			totals.refused++;
			totals.expiredWaiting += simulation.now() - startedAt >= admissionDeadlineShare * limitMs ? 1 : 0;
			totals.urgentRefused += req.urgency === 'urgent' ? 1 : 0;
		}

		return;
	}

	cluster.send(req, entry, {
		onFirstToken() {
			const totalMs = simulation.now() - startedAt;
			if (!isMeasured) {
				return;
			}

			if (req.urgency === 'urgent') {
				totals.urgentMs.push(totalMs);
			}

			if (totalMs <= limitMs) {
				totals.goodput += tokens;
				totals.served[index]! += tokens;
			}
		},
		onEnd() {
			ticket.release(tokens);
		},
	});
}
