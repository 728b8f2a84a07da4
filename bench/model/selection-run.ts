import {type Clock} from '../../src/common/base/clock.js';
import {type RandomSource} from '../../src/common/base/random-source.js';
import {SeededRandom} from '../../src/common/base/seeded-random.js';
import {type BackendSelector} from '../../src/common/routing/backend-selector.js';
import {LoadAwareSelector} from '../../src/common/routing/load-aware-selector.js';
import {RandomSelector} from '../../src/common/routing/random-selector.js';
import {RoundRobinSelector} from '../../src/common/routing/round-robin-selector.js';
import {TwoChoicesSelector} from '../../src/common/routing/two-choices-selector.js';
import {ClusterModel, zones} from './cluster-model.js';
import {commonRates, EngineModel} from './engine-model.js';
import {Simulation} from './simulation.js';
import {quantile} from './statistics.js';
import {
	commonShape, sharedShape, Traffic, type TrafficShape,
} from './traffic.js';

/** Scenario of the measurement. */
export type Scenario = {
	readonly name: string;
	readonly entryHosts: number;
	readonly speeds: readonly number[];
	readonly shape: TrafficShape;
	/** Zone that fails after a third of the measured requests. */
	readonly failedZone?: string;
};
/** Creates the selector of an entry host. */
export type SelectorFactory = (clock: Clock, random: RandomSource, zone: string) => BackendSelector;
/** Times to first token in milliseconds, and request counts, of one run. */
export type SelectionResult = {urgentP95: number; allP95: number; unanswered: number; requests: number};

/** Requests per engine before and during the measurement. */
const warmUpRequests = 100;
const measuredRequests = 300;
/** Time that the simulation continues after the last request, so that requests in flight are answered. */
const drainMs = 30_000;
const createSpeeds = (count: number, slow?: number) => Array.from({length: count}, (_, index) => index === 1 && slow ? slow : 1);

/** Scenarios for which a target is set. */
export const scenarios: readonly Scenario[] = [
	{
		name: '1 entry host', entryHosts: 1, speeds: createSpeeds(13), shape: commonShape,
	},
	{
		name: '9 entry hosts', entryHosts: 9, speeds: createSpeeds(13), shape: commonShape,
	},
	{
		name: '90 entry hosts', entryHosts: 90, speeds: createSpeeds(30), shape: commonShape,
	},
	{
		name: 'shared prefixes', entryHosts: 9, speeds: createSpeeds(13), shape: sharedShape,
	},
	{
		name: 'one slow engine', entryHosts: 9, speeds: createSpeeds(13, 0.3), shape: commonShape,
	},
	{
		name: 'one zone lost', entryHosts: 9, speeds: createSpeeds(13), shape: commonShape, failedZone: 'b',
	},
];

/** Factories of selectors by name. */
export const selectorFactories: Readonly<Record<string, SelectorFactory>> = {
	'load-aware': (clock, random, zone) => new LoadAwareSelector(clock, random, {zone}),
	'two choices': (clock, random) => new TwoChoicesSelector(clock, random),
	'round robin': clock => new RoundRobinSelector(clock),
	random: (clock, random) => new RandomSelector(clock, random),
};

const capacities = new Map<TrafficShape, number>();

/** Throughput in requests/s of one saturated engine. */
export function engineCapacity(shape: TrafficShape): number {
	const cached = capacities.get(shape);
	if (cached !== undefined) {
		return cached;
	}

	const simulation = new Simulation();
	const engine = new EngineModel(simulation);
	const traffic = new Traffic(new SeededRandom(7), shape);
	let answered = 0;
	const submit = () => {
		engine.submit({
			...traffic.next(),
			onFirstToken() {
				// Only complete answers count.
			},
			onEnd() {
				answered++;
				submit();
			},
		});
	};

	for (let index = 0; index < commonRates.capacity + 8; index++) {
		submit();
	}

	simulation.run(30_000);
	answered = 0;
	simulation.run(330_000);
	capacities.set(shape, answered / 300);
	return answered / 300;
}

/**
Runs a scenario at a share of its capacity, or of the remaining capacity if a zone fails.
The number of requests does not depend on the load, so that quantiles at low load are as precise as at high load.
*/
export function runScenario(scenario: Scenario, createSelector: SelectorFactory, load: number, seed: number): SelectionResult {
	const simulation = new Simulation();
	const random = new SeededRandom(seed);
	const cluster = new ClusterModel(simulation, random.fork('cluster'), scenario.speeds);
	for (let index = 0; index < scenario.entryHosts; index++) {
		const zone = zones[index % zones.length]!;
		cluster.entries.push({zone, selector: createSelector(simulation, random.fork(`selector ${index}`), zone)});
	}

	const remainingSpeeds = scenario.speeds.filter((_, index) => zones[index % zones.length] !== scenario.failedZone);
	const rate = load * remainingSpeeds.reduce((sum, speed) => sum + speed, 0) * engineCapacity(scenario.shape);
	const traffic = new Traffic(random.fork('traffic'), scenario.shape);
	const hosts = random.fork('hosts');
	const urgent: number[] = [];
	const all: number[] = [];
	const warmUp = warmUpRequests * scenario.speeds.length;
	const total = warmUp + (measuredRequests * scenario.speeds.length);
	let sent = 0;
	let unanswered = 0;
	const arrive = () => {
		const req = traffic.next();
		const isMeasured = sent >= warmUp;
		cluster.send(req, cluster.entries[hosts.integer(cluster.entries.length)]!, {
			onFirstToken(delayMs) {
				if (isMeasured) {
					all.push(delayMs);
					if (req.urgency === 'urgent') {
						urgent.push(delayMs);
					}
				}
			},
			onEnd(isAnswered) {
				unanswered += isMeasured && !isAnswered ? 1 : 0;
			},
		});
		sent++;
		if (scenario.failedZone && sent === warmUp + Math.floor((total - warmUp) / 3)) {
			cluster.failZone(scenario.failedZone);
		}

		if (sent < total) {
			simulation.setTimer(traffic.nextGapMs(rate), arrive);
		}
	};

	arrive();
	simulation.runWhile(() => sent < total);
	simulation.run(simulation.now() + drainMs);
	// Requests without a first token are missing from the quantiles; those that failed are counted as unanswered.
	return {
		urgentP95: quantile(urgent, 0.95), allP95: quantile(all, 0.95), unanswered, requests: total - warmUp,
	};
}
